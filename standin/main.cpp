/// @file
/// Runs one stand-in: `standin platform|engine|service name=value ...`. The
/// stand-in prints `port N` once it listens and runs until SIGINT or SIGTERM.

#include <iostream>

#include <boost/asio/signal_set.hpp>

#include "standin.hpp"

int main(int Count, char **Arguments) {
  using Runner = void (*)(boost::asio::io_context &, const standin::Options &);
  const std::map<std::string, Runner> Runners{
      {"platform", standin::runPlatform},
      {"engine", standin::runEngine},
      {"service", standin::runPlainService}};
  const auto Found = Count > 1 ? Runners.find(Arguments[1]) : Runners.end();
  if (Found == Runners.end()) {
    std::cerr << "usage: standin platform|engine|service [name=value ...]\n";
    return 2;
  }
  standin::Options Settings;
  for (int I = 2; I < Count; ++I) {
    const std::string Argument{Arguments[I]};
    const auto Separator = Argument.find('=');
    if (Separator == std::string::npos) {
      std::cerr << "standin: expected name=value, not " << Argument << '\n';
      return 2;
    }
    Settings[Argument.substr(0, Separator)] = Argument.substr(Separator + 1);
  }
  boost::asio::io_context Context{1};
  boost::asio::signal_set Signals{Context, SIGTERM, SIGINT};
  Signals.async_wait([&](auto, auto) { Context.stop(); });
  Found->second(Context, Settings);
  return 0;
}

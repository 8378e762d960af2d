/// @file
/// Starts one stand-in: `standin platform|engine|service name=value ...`.
/// Prints `port N` once it listens.

#include <iostream>

#include <boost/asio/signal_set.hpp>

#include "standin.hpp"

int main(int Count, char **Words) {
  using Runner = void (*)(boost::asio::io_context &, const standin::Options &);
  const std::map<std::string, Runner> Runners{
      {"platform", standin::runPlatform},
      {"engine", standin::runEngine},
      {"service", standin::runPlainService}};
  const auto Found = Count > 1 ? Runners.find(Words[1]) : Runners.end();
  if (Found == Runners.end()) {
    std::cerr << "usage: standin platform|engine|service [name=value ...]\n";
    return 2;
  }
  standin::Options Given;
  for (int I = 2; I < Count; ++I) {
    const std::string Word{Words[I]};
    const auto Equal = Word.find('=');
    if (Equal == std::string::npos) {
      std::cerr << "standin: expected name=value, not " << Word << '\n';
      return 2;
    }
    Given[Word.substr(0, Equal)] = Word.substr(Equal + 1);
  }
  boost::asio::io_context Context{1};
  boost::asio::signal_set Signals{Context, SIGTERM, SIGINT};
  Signals.async_wait([&](auto, auto) { Context.stop(); });
  Found->second(Context, Given);
  return 0;
}

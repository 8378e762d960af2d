/// @file
/// The client on the library's HTTP client.

#include "operator_client.hpp"

#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/client.hpp"

namespace goldcrestctl {

using namespace goldcrestnotch;

namespace {

constexpr Millis CallLimit{15'000};

http::Response call(const http::Endpoint &Where, const http::Request &Asked) {
  boost::asio::io_context Context;
  std::optional<http::Response> Answer;
  std::optional<Error> Failed;
  boost::asio::spawn(Context, [&](boost::asio::yield_context Yield) {
    try {
      Answer = http::Client{Yield, Where}.send(Asked, DecisionClock::now() +
                                                          CallLimit);
    } catch (const Error &Failure) {
      Failed = Failure;
    }
  });
  Context.run();
  if (Failed) {
    throw Error{*Failed};
  }
  return *Answer;
}

} // namespace

Reply OperatorClient::send(const std::string &Method, const std::string &Path,
                           const std::string &Body) {
  http::Request Asked;
  Asked.Method = Method;
  Asked.Path = "/operator/v1/" + Path;
  Asked.Body = Body;
  Asked.Fields["Authorization"] = "Bearer " + Key;
  Asked.Fields["X-Operator"] = Operator;
  for (std::size_t I = 0;; ++I) {
    try {
      const auto Answer = call(http::Endpoint::parse(Servers[I]), Asked);
      auto Parsed = nlohmann::json::parse(Answer.Body, nullptr, false);
      return {Answer.Status, Parsed.is_object() ? Parsed : nlohmann::json{}};
    } catch (const Error &Failure) {
      if (Failure.verdict() != Verdict::NotRun || I + 1 == Servers.size()) {
        throw;
      }
    }
  }
}

} // namespace goldcrestctl

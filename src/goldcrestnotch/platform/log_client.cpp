/// @file
/// The log service's HTTP calls.

#include "goldcrestnotch/platform/log_client.hpp"

#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/client.hpp"

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

static constexpr int PageRecords = 1'000;
static constexpr int StatusGone = 410;
static constexpr int StatusOk = 200;

[[nodiscard]] static json parse(const http::Response &Answer) {
  auto Parsed = json::parse(Answer.Body, nullptr, false);
  if (Answer.Status == StatusGone && Parsed.is_object()) {
    throw Trimmed{Parsed.value("first", std::uint64_t{0})};
  }
  if (Answer.Status != StatusOk || !Parsed.is_object()) {
    throw Error{503, "log_unavailable",
                "the log answered " + std::to_string(Answer.Status)};
  }
  return Parsed;
}

[[nodiscard]] static LogPage pageOf(const json &Source) {
  LogPage Result;
  Result.End = Source.at("next").get<std::uint64_t>();
  for (const auto &One : Source.at("records")) {
    Result.Records.push_back(
        {One.at("offset").get<std::uint64_t>(),
         LogTime{Millis{One.at("time_ms").get<std::int64_t>()}},
         One.at("body").get<std::string>()});
  }
  return Result;
}

[[nodiscard]] static LogPage ask(const http::Endpoint &Where,
                                 boost::asio::yield_context Yield,
                                 const std::string &Stream,
                                 const std::string &Query, Instant Until) {
  http::Request Asked;
  Asked.Path = "/v1/streams/" + Stream + "/records";
  Asked.Query = Query;
  try {
    return pageOf(parse(http::Client{Yield, Where}.send(Asked, Until)));
  } catch (const json::exception &Failure) {
    throw Error{503, "log_unavailable", Failure.what()};
  }
}

} // namespace internal

std::uint64_t LogClient::append(boost::asio::yield_context Yield,
                                const std::string &Stream,
                                const std::string &Body, Instant Until) {
  http::Request Asked;
  Asked.Method = "POST";
  Asked.Path = "/v1/streams/" + Stream + "/append";
  Asked.Body = Body;
  const auto Answer =
      internal::parse(http::Client{Yield, Where}.send(Asked, Until));
  return Answer.value("offset", std::uint64_t{0});
}

LogPage LogClient::read(boost::asio::yield_context Yield,
                        const std::string &Stream, std::uint64_t From,
                        Millis Wait, Instant Until) {
  return internal::ask(Where, Yield, Stream,
                       "from=" + std::to_string(From) +
                           "&limit=" + std::to_string(internal::PageRecords) +
                           "&wait_ms=" + std::to_string(Wait.count()),
                       Until);
}

std::optional<LogRecord> LogClient::last(boost::asio::yield_context Yield,
                                         const std::string &Stream,
                                         Instant Until) {
  const auto Page = internal::ask(Where, Yield, Stream, "from=last", Until);
  return Page.Records.empty() ? std::nullopt
                              : std::optional{Page.Records.back()};
}

} // namespace goldcrestnotch

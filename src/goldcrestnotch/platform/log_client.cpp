/// @file
/// HTTP calls to the log service.

#include "goldcrestnotch/platform/log_client.hpp"

#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/client.hpp"
#include "goldcrestnotch/http/query.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

/// Maximum number of records per read.
static constexpr int MaxPageRecords = 1'000;
static constexpr int StatusGone = 410;
static constexpr int StatusOk = 200;

/// @brief Checks the status of a response and parses its body.
/// @throws TrimmedError if the log has trimmed the requested records.
/// @throws Error if the request failed.
[[nodiscard]] static json parseResponse(const http::Response &Response) {
  auto Parsed = json::parse(Response.Body, nullptr, false);
  if (Response.Status == StatusGone && Parsed.is_object()) {
    throw TrimmedError{Parsed.value("first", std::uint64_t{0})};
  }
  if (Response.Status != StatusOk || !Parsed.is_object()) {
    throw Error{503, "log_unavailable",
                "the log service responded with status " +
                    std::to_string(Response.Status)};
  }
  return Parsed;
}

/// @brief Whether a record has all fields and does not come too early.
/// @param FirstOffset Offset that the record has at least.
[[nodiscard]] static bool isReadable(const json &Record,
                                     std::uint64_t FirstOffset) {
  if (!Record.is_object()) {
    return false;
  }
  const auto Offset = Record.value("offset", json{});
  return Offset.is_number_unsigned() &&
         Offset.get<std::uint64_t>() >= FirstOffset &&
         Record.value("time_ms", json{}).is_number_integer() &&
         Record.value("body", json{}).is_string();
}

/// @brief Converts a record. One that can't be read has no body.
/// @param FirstOffset Offset that the record has at least.
[[nodiscard]] static LogRecord toRecord(const json &Source,
                                        std::uint64_t FirstOffset) {
  if (!isReadable(Source, FirstOffset)) {
    return {FirstOffset, LogTime{}, {}};
  }
  return {Source.at("offset").get<std::uint64_t>(),
          LogTime{Millis{Source.at("time_ms").get<std::int64_t>()}},
          Source.at("body").get<std::string>()};
}

/// @brief Converts the body of a read response. A record that can't be read
/// must not keep those behind it from use.
/// @param FirstOffset Offset of the first record.
[[nodiscard]] static LogPage toPage(const json &Source,
                                    std::uint64_t FirstOffset) {
  LogPage Result;
  Result.End = Source.at("next").get<std::uint64_t>();
  std::optional<std::uint64_t> FirstUnreadable;
  for (const auto &Record :
       Source.at("records").get_ref<const json::array_t &>()) {
    Result.Records.push_back(toRecord(Record, FirstOffset));
    const auto &Converted = Result.Records.back();
    if (Converted.Body.empty() && !FirstUnreadable) {
      FirstUnreadable = Converted.Offset;
    }
    FirstOffset = Converted.Offset + 1;
  }
  if (FirstUnreadable) {
    log(LogLevel::Warn, "log.record_unreadable",
        {{"first", static_cast<std::int64_t>(*FirstUnreadable)},
         {"page_end", static_cast<std::int64_t>(FirstOffset)}});
  }
  return Result;
}

/// @brief Reads records of a stream.
/// @param Query The query string, which selects the records.
/// @param FirstOffset Offset of the first record, as far as it is known.
[[nodiscard]] static LogPage
readPage(const http::Endpoint &Service, boost::asio::yield_context Yield,
         const std::string &Stream, const std::string &Query,
         std::uint64_t FirstOffset, Instant Deadline) {
  http::Request Request;
  Request.Path = "/v1/streams/" + Stream + "/records";
  Request.Query = Query;
  try {
    return toPage(
        parseResponse(http::Client{Yield, Service}.send(Request, Deadline)),
        FirstOffset);
  } catch (const json::exception &Exception) {
    throw Error{503, "log_unavailable", Exception.what()};
  }
}

} // namespace internal

std::uint64_t LogClient::append(boost::asio::yield_context Yield,
                                const std::string &Stream,
                                const std::string &Body, Instant Deadline) {
  http::Request Request;
  Request.Method = "POST";
  Request.Path = "/v1/streams/" + Stream + "/append";
  Request.Body = Body;
  try {
    const auto Response = internal::parseResponse(
        http::Client{Yield, Service}.send(Request, Deadline));
    return Response.value("offset", std::uint64_t{0});
  } catch (const json::exception &Exception) {
    throw Error{503, "log_unavailable", Exception.what()}.withVerdict(
        Verdict::MayHaveRun);
  }
}

LogPage LogClient::read(boost::asio::yield_context Yield,
                        const std::string &Stream, std::uint64_t FirstOffset,
                        Millis MaxWait, Instant Deadline) {
  return internal::readPage(
      Service, Yield, Stream,
      http::QueryBuilder{}
          .add("from", FirstOffset)
          .add("limit", internal::MaxPageRecords)
          .add("wait_ms", static_cast<std::uint64_t>(MaxWait.count()))
          .build(),
      FirstOffset, Deadline);
}

std::optional<LogRecord> LogClient::last(boost::asio::yield_context Yield,
                                         const std::string &Stream,
                                         Instant Deadline) {
  const auto Page =
      internal::readPage(Service, Yield, Stream, "from=last", 0, Deadline);
  return Page.Records.empty() ? std::nullopt
                              : std::optional{Page.Records.back()};
}

} // namespace goldcrestnotch

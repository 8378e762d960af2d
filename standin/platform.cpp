/// @file
/// Stand-in for the platform: an append-only log with limited retention and a
/// rate limit, a lagging live list, and a weight store.

#include <deque>
#include <iostream>

#include "standin.hpp"

namespace standin {

using goldcrestnotch::http::Endpoint;
using goldcrestnotch::http::Exchange;
using goldcrestnotch::http::Limits;
using goldcrestnotch::http::Response;
using goldcrestnotch::http::Server;

namespace {

constexpr Millis PollInterval{2};
constexpr std::size_t MaxLists = 10'000;
constexpr std::int64_t MaxRecordsPerRead = 1'000;

struct Record {
  std::int64_t TimeMs = 0;
  std::string Body;
};

/// A log stream. Offsets start at zero; `FirstOffset` is the oldest record
/// kept.
struct Stream {
  std::uint64_t FirstOffset = 0;
  std::deque<Record> Records;

  [[nodiscard]] std::uint64_t nextOffset() const {
    return FirstOffset + Records.size();
  }
};

class Platform {
public:
  Platform(boost::asio::io_context &Context, const Options &Arguments)
      : Listener{Context,
                 Endpoint{"127.0.0.1", static_cast<std::uint16_t>(
                                           number(Arguments, "port", 0))},
                 limits(),
                 [this](Exchange &HttpExchange) { handle(HttpExchange); }} {
    Switch.emplace("outage", 0);
    Switch.emplace("delay_ms", 0);
    Switch.emplace("lose_answers", 0);
    Switch.emplace("retention_ms",
                   number(Arguments, "retention_ms", 3'600'000));
    Switch.emplace("appends_per_s", number(Arguments, "appends_per_s", 500));
    Switch.emplace("list_lag_ms", number(Arguments, "list_lag_ms", 500));
    Switch.emplace("list_outage", 0);
    Switch.emplace("weights_per_s", number(Arguments, "weights_per_s", 10));
    Listener.start();
    std::cout << "port " << Listener.port() << std::endl;
  }

private:
  static Limits limits() {
    Limits Result;
    Result.MaxBodyBytes = 64ULL * 1024 * 1024;
    return Result;
  }

  void handle(Exchange &HttpExchange) {
    const auto &Path = HttpExchange.request().Path;
    if (Path.starts_with("/admin/")) {
      HttpExchange.reply(admin(HttpExchange));
    } else if (Path == "/v1/vms") {
      HttpExchange.reply(liveList());
    } else if (Path.starts_with("/v1/weights/")) {
      HttpExchange.reply(weights());
    } else if (Path.starts_with("/v1/streams/")) {
      serveLog(HttpExchange, Path.substr(std::string{"/v1/streams/"}.size()));
    } else {
      HttpExchange.reply(answer({{"error", "not found"}}, 404));
    }
  }

  Response admin(Exchange &HttpExchange) {
    const auto &Request = HttpExchange.request();
    try {
      if (Request.Path == "/admin/switches") {
        Switch.merge(json::parse(Request.Body));
        return answer({{"ok", true}});
      }
      if (Request.Path == "/admin/vms") {
        Lists.push_back({wallMillis(), json::parse(Request.Body)});
        while (Lists.size() > MaxLists) {
          Lists.pop_front();
        }
        return answer({{"ok", true}});
      }
    } catch (const std::exception &Error) {
      return answer({{"error", Error.what()}}, 400);
    }
    json Counts{{"appends", Appends},
                {"refused", RejectedAppends},
                {"reads", Reads},
                {"bytes_in", BytesIn},
                {"bytes_out", BytesOut}};
    for (const auto &[Name, Entry] : Streams) {
      Counts["streams"][Name] = {{"first", Entry.FirstOffset},
                                 {"next", Entry.nextOffset()}};
    }
    return answer(Counts);
  }

  /// Returns the newest live list that is at least `list_lag_ms` old.
  Response liveList() {
    if (Switch.at("list_outage") != 0) {
      return answer({{"error", "outage"}}, 503);
    }
    const auto MaxTimeMs = wallMillis() - Switch.at("list_lag_ms");
    json Result{{"vms", json::array()}};
    for (const auto &[TimeMs, List] : Lists) {
      if (TimeMs <= MaxTimeMs) {
        Result = List;
      }
    }
    return answer(Result);
  }

  Response weights() {
    if (!tryConsume(WeightWindowSecond, WeightCount,
                    Switch.at("weights_per_s"))) {
      auto Result = answer({{"error", "rate limited"}}, 429);
      Result.Fields["Retry-After"] = "1";
      return Result;
    }
    return answer({{"weights", "present"}});
  }

  /// Counts a call against a limit per wall-clock second; false above it.
  static bool tryConsume(std::int64_t &WindowSecond, std::int64_t &Count,
                         std::int64_t MaxPerSecond) {
    const auto Now = wallMillis() / 1'000;
    if (Now != WindowSecond) {
      WindowSecond = Now;
      Count = 0;
    }
    return ++Count <= MaxPerSecond;
  }

  void serveLog(Exchange &HttpExchange, const std::string &Path) {
    const auto Slash = Path.rfind('/');
    const auto Name = Path.substr(0, Slash);
    const auto DelayMs = Switch.at("delay_ms");
    if (DelayMs > 0) {
      sleep(HttpExchange, Millis{DelayMs});
    }
    if (Switch.at("outage") != 0) {
      HttpExchange.reply(answer({{"error", "outage"}}, 503));
    } else if (Path.substr(Slash + 1) == "append") {
      append(HttpExchange, Name);
    } else {
      read(HttpExchange, Name);
    }
  }

  void append(Exchange &HttpExchange, const std::string &Name) {
    if (!tryConsume(AppendWindowSecond, AppendCount,
                    Switch.at("appends_per_s"))) {
      ++RejectedAppends;
      auto Result = answer({{"error", "rate limited"}}, 429);
      Result.Fields["Retry-After"] = "1";
      HttpExchange.reply(Result);
      return;
    }
    auto &Log = Streams[Name];
    const auto Offset = Log.nextOffset();
    Log.Records.push_back({wallMillis(), HttpExchange.request().Body});
    ++Appends;
    BytesIn += HttpExchange.request().Body.size();
    trim(Log);
    if (Switch.use("lose_answers")) {
      HttpExchange.reply(answer({{"error", "answer lost"}}, 503));
      return;
    }
    HttpExchange.reply(answer({{"offset", Offset}}));
  }

  void trim(Stream &Log) {
    const auto MinTimeMs = wallMillis() - Switch.at("retention_ms");
    while (!Log.Records.empty() && Log.Records.front().TimeMs < MinTimeMs) {
      Log.Records.pop_front();
      ++Log.FirstOffset;
    }
  }

  void read(Exchange &HttpExchange, const std::string &Name) {
    ++Reads;
    auto &Log = Streams[Name];
    trim(Log);
    const auto FromText = HttpExchange.request().parameter("from");
    const auto From = FromText == "last"
                          ? Log.nextOffset() - (Log.Records.empty() ? 0 : 1)
                          : std::stoull("0" + FromText);
    if (From < Log.FirstOffset) {
      HttpExchange.reply(answer({{"first", Log.FirstOffset}}, 410));
      return;
    }
    const auto WaitMs =
        std::stoll("0" + HttpExchange.request().parameter("wait_ms"));
    const auto Deadline = DecisionClock::now() + Millis{WaitMs};
    while (From >= Log.nextOffset() && DecisionClock::now() < Deadline &&
           Switch.at("outage") == 0) {
      sleep(HttpExchange, PollInterval);
    }
    if (Switch.at("outage") != 0) {
      HttpExchange.reply(answer({{"error", "outage"}}, 503));
      return;
    }
    const auto Reply = page(Log, From);
    BytesOut += Reply.Body.size();
    HttpExchange.reply(Reply);
  }

  static Response page(const Stream &Log, std::uint64_t From) {
    json Entries = json::array();
    for (auto Offset = std::max(From, Log.FirstOffset);
         Offset < Log.nextOffset() &&
         Entries.size() < static_cast<std::size_t>(MaxRecordsPerRead);
         ++Offset) {
      const auto &Entry = Log.Records[Offset - Log.FirstOffset];
      Entries.push_back({{"offset", Offset},
                         {"time_ms", Entry.TimeMs},
                         {"body", Entry.Body}});
    }
    return answer({{"records", Entries}, {"next", Log.nextOffset()}});
  }

  Switches Switch;
  std::map<std::string, Stream> Streams;
  /// Publication time and content of each live list, oldest first.
  std::deque<std::pair<std::int64_t, json>> Lists;
  std::int64_t AppendWindowSecond = 0;
  std::int64_t AppendCount = 0;
  std::int64_t WeightWindowSecond = 0;
  std::int64_t WeightCount = 0;
  std::uint64_t Appends = 0;
  std::uint64_t RejectedAppends = 0;
  std::uint64_t Reads = 0;
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
  Server Listener;
};

} // namespace

void runPlatform(boost::asio::io_context &Context, const Options &Arguments) {
  const Platform Instance{Context, Arguments};
  Context.run();
}

} // namespace standin

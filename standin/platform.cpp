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

constexpr Millis PollStep{2};
constexpr std::size_t KeptLists = 10'000;
constexpr std::int64_t MostRecords = 1'000;

struct Record {
  std::int64_t When = 0;
  std::string Body;
};

/// One stream; offsets count from zero.
struct Stream {
  std::uint64_t First = 0;
  std::deque<Record> Records;

  [[nodiscard]] std::uint64_t next() const { return First + Records.size(); }
};

class Platform {
public:
  Platform(boost::asio::io_context &Context, const Options &Given)
      : Listener{Context,
                 Endpoint{"127.0.0.1",
                          static_cast<std::uint16_t>(number(Given, "port", 0))},
                 limits(), [this](Exchange &Talk) { handle(Talk); }} {
    Switch.emplace("outage", 0);
    Switch.emplace("delay_ms", 0);
    Switch.emplace("lose_answers", 0);
    Switch.emplace("retention_ms", number(Given, "retention_ms", 3'600'000));
    Switch.emplace("appends_per_s", number(Given, "appends_per_s", 500));
    Switch.emplace("list_lag_ms", number(Given, "list_lag_ms", 500));
    Switch.emplace("list_outage", 0);
    Switch.emplace("weights_per_s", number(Given, "weights_per_s", 10));
    Listener.start();
    std::cout << "port " << Listener.port() << std::endl;
  }

private:
  static Limits limits() {
    Limits Result;
    Result.MaxBodyBytes = 64ULL * 1024 * 1024;
    return Result;
  }

  void handle(Exchange &Talk) {
    const auto &Path = Talk.request().Path;
    if (Path.starts_with("/admin/")) {
      Talk.reply(admin(Talk));
    } else if (Path == "/v1/vms") {
      Talk.reply(liveList());
    } else if (Path.starts_with("/v1/weights/")) {
      Talk.reply(weights());
    } else if (Path.starts_with("/v1/streams/")) {
      serveLog(Talk, Path.substr(std::string{"/v1/streams/"}.size()));
    } else {
      Talk.reply(answer({{"error", "not found"}}, 404));
    }
  }

  Response admin(Exchange &Talk) {
    const auto &Asked = Talk.request();
    try {
      if (Asked.Path == "/admin/switches") {
        Switch.merge(json::parse(Asked.Body));
        return answer({{"ok", true}});
      }
      if (Asked.Path == "/admin/vms") {
        Lists.push_back({wallMillis(), json::parse(Asked.Body)});
        while (Lists.size() > KeptLists) {
          Lists.pop_front();
        }
        return answer({{"ok", true}});
      }
    } catch (const std::exception &Failure) {
      return answer({{"error", Failure.what()}}, 400);
    }
    json Account{{"appends", Appends},
                 {"refused", RefusedAppends},
                 {"reads", Reads},
                 {"bytes_in", BytesIn},
                 {"bytes_out", BytesOut}};
    for (const auto &[Name, One] : Streams) {
      Account["streams"][Name] = {{"first", One.First}, {"next", One.next()}};
    }
    return answer(Account);
  }

  Response liveList() {
    if (Switch.at("list_outage") != 0) {
      return answer({{"error", "outage"}}, 503);
    }
    const auto Until = wallMillis() - Switch.at("list_lag_ms");
    json Result{{"vms", json::array()}};
    for (const auto &[When, List] : Lists) {
      if (When <= Until) {
        Result = List;
      }
    }
    return answer(Result);
  }

  Response weights() {
    if (!allow(WeightWindow, WeightCount, Switch.at("weights_per_s"))) {
      auto Result = answer({{"error", "rate limited"}}, 429);
      Result.Fields["Retry-After"] = "1";
      return Result;
    }
    return answer({{"weights", "present"}});
  }

  static bool allow(std::int64_t &Window, std::int64_t &Count,
                    std::int64_t Most) {
    const auto Now = wallMillis() / 1'000;
    if (Now != Window) {
      Window = Now;
      Count = 0;
    }
    return ++Count <= Most;
  }

  void serveLog(Exchange &Talk, const std::string &Path) {
    const auto Slash = Path.rfind('/');
    const auto Name = Path.substr(0, Slash);
    const auto Delay = Switch.at("delay_ms");
    if (Delay > 0) {
      sleep(Talk, Millis{Delay});
    }
    if (Switch.at("outage") != 0) {
      Talk.reply(answer({{"error", "outage"}}, 503));
    } else if (Path.substr(Slash + 1) == "append") {
      append(Talk, Name);
    } else {
      read(Talk, Name);
    }
  }

  void append(Exchange &Talk, const std::string &Name) {
    if (!allow(AppendWindow, AppendCount, Switch.at("appends_per_s"))) {
      ++RefusedAppends;
      auto Result = answer({{"error", "rate limited"}}, 429);
      Result.Fields["Retry-After"] = "1";
      Talk.reply(Result);
      return;
    }
    auto &Target = Streams[Name];
    const auto Offset = Target.next();
    Target.Records.push_back({wallMillis(), Talk.request().Body});
    ++Appends;
    BytesIn += Talk.request().Body.size();
    trim(Target);
    if (Switch.use("lose_answers")) {
      Talk.reply(answer({{"error", "answer lost"}}, 503));
      return;
    }
    Talk.reply(answer({{"offset", Offset}}));
  }

  void trim(Stream &Target) {
    const auto Oldest = wallMillis() - Switch.at("retention_ms");
    while (!Target.Records.empty() && Target.Records.front().When < Oldest) {
      Target.Records.pop_front();
      ++Target.First;
    }
  }

  void read(Exchange &Talk, const std::string &Name) {
    ++Reads;
    auto &Source = Streams[Name];
    trim(Source);
    const auto Asked = Talk.request().parameter("from");
    const auto From = Asked == "last"
                          ? Source.next() - (Source.Records.empty() ? 0 : 1)
                          : std::stoull("0" + Asked);
    if (From < Source.First) {
      Talk.reply(answer({{"first", Source.First}}, 410));
      return;
    }
    const auto Wait = std::stoll("0" + Talk.request().parameter("wait_ms"));
    const auto Until = DecisionClock::now() + Millis{Wait};
    while (From >= Source.next() && DecisionClock::now() < Until &&
           Switch.at("outage") == 0) {
      sleep(Talk, PollStep);
    }
    if (Switch.at("outage") != 0) {
      Talk.reply(answer({{"error", "outage"}}, 503));
      return;
    }
    const auto Reply = page(Source, From);
    BytesOut += Reply.Body.size();
    Talk.reply(Reply);
  }

  static Response page(const Stream &Source, std::uint64_t From) {
    json Rows = json::array();
    for (auto At = std::max(From, Source.First);
         At < Source.next() &&
         Rows.size() < static_cast<std::size_t>(MostRecords);
         ++At) {
      const auto &One = Source.Records[At - Source.First];
      Rows.push_back(
          {{"offset", At}, {"time_ms", One.When}, {"body", One.Body}});
    }
    return answer({{"records", Rows}, {"next", Source.next()}});
  }

  Switches Switch;
  std::map<std::string, Stream> Streams;
  std::deque<std::pair<std::int64_t, json>> Lists; ///< Oldest first.
  std::int64_t AppendWindow = 0;
  std::int64_t AppendCount = 0;
  std::int64_t WeightWindow = 0;
  std::int64_t WeightCount = 0;
  std::uint64_t Appends = 0;
  std::uint64_t RefusedAppends = 0;
  std::uint64_t Reads = 0;
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
  Server Listener;
};

} // namespace

void runPlatform(boost::asio::io_context &Context, const Options &Given) {
  const Platform Running{Context, Given};
  Context.run();
}

} // namespace standin

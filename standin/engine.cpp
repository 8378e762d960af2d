/// @file
/// Stand-in for a model engine. Its streams can be resumed, cancelled and
/// listed by owner. It fails requests above a concurrency limit, and tests can
/// make it fail every request, each nth request or requests under load, cut
/// streams, stop responding, or respond slowly.

#include <iostream>
#include <set>

#include "standin.hpp"

namespace standin {

using goldcrestnotch::http::Endpoint;
using goldcrestnotch::http::Exchange;
using goldcrestnotch::http::Limits;
using goldcrestnotch::http::Response;
using goldcrestnotch::http::Server;

namespace {

constexpr Millis PollInterval{1};
constexpr std::size_t BytesPerToken = 4;
constexpr std::uint64_t VocabularySize = 997;

/// A generation. It continues without a reader, so that a client can resume it.
struct Generation {
  std::string Owner;
  std::string Tag;
  std::int64_t PromptTokens = 0;
  std::int64_t Tokens = 0; ///< Tokens generated so far.
  std::int64_t MaxTokens = 0;
  std::int64_t EndedMs = 0; ///< Zero while the generation runs.
  bool Cancelled = false;

  [[nodiscard]] std::int64_t total() const { return PromptTokens + Tokens; }
};

class Engine {
public:
  Engine(boost::asio::io_context &Context, const Options &Arguments)
      : Context{Context}, Listener{Context,
                                   Endpoint{"127.0.0.1",
                                            static_cast<std::uint16_t>(
                                                number(Arguments, "port", 0))},
                                   Limits{}, [this](Exchange &HttpExchange) {
                                     handle(HttpExchange);
                                   }} {
    Switch.emplace("capacity", number(Arguments, "capacity", 8));
    Switch.emplace("first_ms", number(Arguments, "first_ms", 5));
    Switch.emplace("between_ms", number(Arguments, "between_ms", 2));
    Switch.emplace("fail", 0);        ///< Respond 500 to every request.
    Switch.emplace("fail_one_in", 0); ///< Respond 500 to each nth request.
    Switch.emplace("fail_above", 0);  ///< Respond 500 at this load or above.
    Switch.emplace("refuse", 0);      ///< Respond with this status.
    Switch.emplace("cut_after", 0);   ///< Close the connection after n tokens.
    Switch.emplace("silent", 0);      ///< Accept requests without a response.
    Switch.emplace("leaving", 0);
    Switch.emplace("load_lag_ms", 0);
    Switch.emplace("keep_ms", number(Arguments, "keep_ms", 300'000));
    Listener.start();
    std::cout << "port " << Listener.port() << std::endl;
  }

private:
  void handle(Exchange &HttpExchange) {
    const auto &Request = HttpExchange.request();
    if (Request.Path == "/v1/chat/completions") {
      generate(HttpExchange);
    } else if (Request.Path == "/v1/load") {
      HttpExchange.reply(answer({{"running", Running},
                                 {"capacity", Switch.at("capacity")},
                                 {"leaving", Switch.at("leaving") != 0}}));
    } else if (Request.Path.starts_with("/v1/streams")) {
      HttpExchange.reply(streams(Request));
    } else if (Request.Path == "/admin/switches") {
      Switch.merge(json::parse(Request.Body));
      HttpExchange.reply(answer({{"ok", true}}));
    } else if (Request.Path == "/admin/account") {
      HttpExchange.reply(account());
    } else {
      HttpExchange.reply(answer({{"error", "not found"}}, 404));
    }
  }

  [[nodiscard]] Response account() const {
    json Entries = json::object();
    for (const auto &[StreamId, Entry] : Generations) {
      Entries[StreamId] = {{"tag", Entry.Tag},
                           {"owner", Entry.Owner},
                           {"prompt", Entry.PromptTokens},
                           {"tokens", Entry.Tokens},
                           {"ended", Entry.EndedMs != 0}};
    }
    return answer({{"orders", Requests},
                   {"fell_over", OverCapacity},
                   {"most_running", PeakRunning},
                   {"generated", Generated},
                   {"failed", Failed},
                   {"after_leaving", RequestsAfterLeaving},
                   {"last_order_ms", LastRequestMs},
                   {"generations", Entries}});
  }

  Response streams(const goldcrestnotch::http::Request &Request) {
    const std::string Prefix = "/v1/streams/";
    if (Request.Method == "DELETE" && Request.Path.starts_with(Prefix)) {
      const auto Found = Generations.find(Request.Path.substr(Prefix.size()));
      if (Found == Generations.end()) {
        return answer({{"error", "no such stream"}}, 404);
      }
      Found->second.Cancelled = true;
      return answer({{"tokens", Found->second.total()}});
    }
    removeExpired();
    const auto Owner = Request.parameter("owner");
    json Entries = json::array();
    for (const auto &[StreamId, Entry] : Generations) {
      if (Entry.Owner == Owner) {
        Entries.push_back({{"id", StreamId},
                           {"tag", Entry.Tag},
                           {"tokens", Entry.total()},
                           {"ended", Entry.EndedMs != 0}});
      }
    }
    const auto LastExpired = LastExpiredEndMs.find(Owner);
    return answer(
        {{"streams", Entries},
         {"forgotten_ms",
          LastExpired == LastExpiredEndMs.end() ? 0 : LastExpired->second}});
  }

  void generate(Exchange &HttpExchange) {
    const auto &Request = HttpExchange.request();
    ++Requests;
    LastRequestMs = wallMillis();
    if (Switch.at("leaving") != 0) {
      ++RequestsAfterLeaving;
    }
    removeExpired();
    const std::string StreamId{Request.field("X-Request-Id")};
    if (Switch.at("silent") != 0) {
      wait(HttpExchange, [this] { return Switch.at("silent") == 0; });
      return;
    }
    if (!Generations.contains(StreamId) &&
        !startGeneration(HttpExchange, StreamId)) {
      return;
    }
    Generations[StreamId].Owner = std::string{Request.field("X-Owner")};
    deliver(HttpExchange, StreamId,
            std::stoll("0" + std::string{Request.field("Last-Event-ID")}));
  }

  bool startGeneration(Exchange &HttpExchange, const std::string &StreamId) {
    const bool FailsByCount =
        Switch.at("fail_one_in") > 0 &&
        Requests % static_cast<std::uint64_t>(Switch.at("fail_one_in")) == 0;
    const bool FailsByLoad =
        Switch.at("fail_above") > 0 && Running >= Switch.at("fail_above");
    if (Switch.at("fail") != 0 || FailsByCount || FailsByLoad) {
      ++Failed;
      HttpExchange.reply(answer({{"error", "the engine failed"}}, 500));
      return false;
    }
    if (Switch.at("refuse") != 0) {
      HttpExchange.reply(answer({{"error", "refused"}},
                                static_cast<int>(Switch.at("refuse"))));
      return false;
    }
    if (Running >= Switch.at("capacity")) {
      ++OverCapacity;
      HttpExchange.reply(answer({{"error", "over capacity"}}, 500));
      return false;
    }
    const auto Body = json::parse(HttpExchange.request().Body, nullptr, false);
    Generation NewStream;
    NewStream.Tag = std::string{HttpExchange.request().field("X-Tag")};
    NewStream.MaxTokens = Body.value("max_tokens", std::int64_t{16});
    std::size_t Bytes = 0;
    for (const auto &Message : Body.value("messages", json::array())) {
      Bytes += Message.value("content", std::string{}).size();
    }
    NewStream.PromptTokens =
        static_cast<std::int64_t>(Bytes / BytesPerToken + 1);
    Generated += NewStream.PromptTokens;
    Generations[StreamId] = NewStream;
    ++Running;
    PeakRunning = std::max(PeakRunning, Running);
    boost::asio::spawn(Context,
                       [this, StreamId](boost::asio::yield_context Yield) {
                         compute(StreamId, Yield);
                       });
    return true;
  }

  /// Generates tokens whether or not a client reads them.
  void compute(const std::string &StreamId, boost::asio::yield_context Yield) {
    boost::asio::steady_timer Timer{Context};
    auto DueTime = std::chrono::steady_clock::now();
    while (true) {
      auto &Previous = Generations[StreamId];
      DueTime += Millis{Previous.Tokens == 0 ? Switch.at("first_ms")
                                             : Switch.at("between_ms")};
      Timer.expires_at(DueTime);
      Timer.async_wait(Yield);
      auto &Current = Generations[StreamId];
      if (Current.Cancelled || Current.Tokens >= Current.MaxTokens) {
        Current.EndedMs = wallMillis();
        break;
      }
      ++Current.Tokens;
      ++Generated;
      if (Current.Tokens >= Current.MaxTokens) {
        Current.EndedMs = wallMillis();
        break;
      }
    }
    --Running;
  }

  template <typename Condition>
  void wait(Exchange &HttpExchange, Condition IsMet) {
    while (!IsMet() && !HttpExchange.abandoned()) {
      sleep(HttpExchange, PollInterval);
    }
  }

  /// The text of a token depends only on the request id and the token's
  /// number, as with a fixed sampling seed, so that a resumed stream can be
  /// compared.
  static std::string tokenText(const std::string &StreamId,
                               std::int64_t Number) {
    const auto Hash =
        std::hash<std::string>{}(StreamId + "#" + std::to_string(Number));
    return "w" + std::to_string(Hash % VocabularySize) + " ";
  }

  static std::string encodeEvent(const std::string &StreamId,
                                 const Generation &Stream,
                                 std::int64_t Number) {
    const bool IsLast = Number == Stream.MaxTokens;
    json Choice{{"index", 0},
                {"delta", {{"content", tokenText(StreamId, Number)}}}};
    Choice["finish_reason"] = IsLast ? json("length") : json(nullptr);
    const json Data{{"id", StreamId},
                    {"object", "chat.completion.chunk"},
                    {"choices", json::array({Choice})},
                    {"usage",
                     {{"prompt_tokens", Stream.PromptTokens},
                      {"completion_tokens", Number}}}};
    return "id: " + std::to_string(Number) + "\ndata: " + Data.dump() + "\n\n";
  }

  void deliver(Exchange &HttpExchange, const std::string &StreamId,
               std::int64_t Sent) {
    Response Header;
    Header.Fields["Content-Type"] = "text/event-stream";
    HttpExchange.start(Header);
    const auto CutAfter = Switch.at("cut_after");
    while (true) {
      const auto Current = Generations[StreamId];
      std::string Bytes;
      while (Sent < Current.Tokens) {
        if (CutAfter > 0 && Sent >= CutAfter) {
          throw boost::system::system_error{
              boost::asio::error::connection_aborted};
        }
        Bytes += encodeEvent(StreamId, Current, ++Sent);
      }
      if (!Bytes.empty()) {
        HttpExchange.write(Bytes);
      }
      if (Generations[StreamId].EndedMs != 0 &&
          Sent >= Generations[StreamId].Tokens) {
        break;
      }
      if (HttpExchange.abandoned()) {
        return;
      }
      sleep(HttpExchange, PollInterval);
    }
    HttpExchange.write("data: [DONE]\n\n");
    HttpExchange.finish();
  }

  /// Removes generations that ended more than `keep_ms` ago.
  void removeExpired() {
    const auto MinEndMs = wallMillis() - Switch.at("keep_ms");
    std::erase_if(Generations, [&](const auto &Entry) {
      const auto &Stream = Entry.second;
      const bool Expired = Stream.EndedMs != 0 && Stream.EndedMs < MinEndMs;
      if (Expired) {
        auto &LastEndMs = LastExpiredEndMs[Stream.Owner];
        LastEndMs = std::max(LastEndMs, Stream.EndedMs);
      }
      return Expired;
    });
  }

  boost::asio::io_context &Context;
  Switches Switch;
  std::map<std::string, Generation> Generations;
  /// By owner, the latest end of a removed generation.
  std::map<std::string, std::int64_t> LastExpiredEndMs;
  std::int64_t Running = 0;
  std::int64_t PeakRunning = 0;
  std::int64_t Generated = 0;
  std::uint64_t Requests = 0;
  std::uint64_t OverCapacity = 0;
  std::uint64_t Failed = 0;
  std::uint64_t RequestsAfterLeaving = 0;
  std::int64_t LastRequestMs = 0;
  Server Listener;
};

} // namespace

void runEngine(boost::asio::io_context &Context, const Options &Arguments) {
  const Engine Instance{Context, Arguments};
  Context.run();
}

} // namespace standin

/// @file
/// Stand-in for a model engine: streams that can be resumed, cancelled and
/// listed by owner, a hard concurrency past which it falls over, and faults
/// that come at once, later, under load or by slowness.

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

constexpr Millis Step{1};
constexpr std::size_t BytesPerToken = 4;
constexpr std::uint64_t WordCount = 997;

/// One generation. It goes on without a reader, so that it can be resumed.
struct Generation {
  std::string Owner;
  std::string Tag;
  std::int64_t Prompt = 0;
  std::int64_t Tokens = 0; ///< Generated.
  std::int64_t Most = 0;
  std::int64_t EndedMs = 0; ///< Zero while it runs.
  bool Cancelled = false;

  [[nodiscard]] std::int64_t total() const { return Prompt + Tokens; }
};

class Engine {
public:
  Engine(boost::asio::io_context &Context, const Options &Given)
      : Context{Context}, Listener{Context,
                                   Endpoint{"127.0.0.1",
                                            static_cast<std::uint16_t>(
                                                number(Given, "port", 0))},
                                   Limits{},
                                   [this](Exchange &Talk) { handle(Talk); }} {
    Switch.emplace("capacity", number(Given, "capacity", 8));
    Switch.emplace("first_ms", number(Given, "first_ms", 5));
    Switch.emplace("between_ms", number(Given, "between_ms", 2));
    Switch.emplace("fail", 0);        ///< Answer every order with 500.
    Switch.emplace("fail_one_in", 0); ///< Answer each nth order with 500.
    Switch.emplace("fail_above", 0);  ///< Fail while more than this run.
    Switch.emplace("cut_after", 0);   ///< Cut answers after n tokens.
    Switch.emplace("silent", 0);      ///< Accept, then say nothing.
    Switch.emplace("leaving", 0);
    Switch.emplace("load_lag_ms", 0);
    Switch.emplace("keep_ms", number(Given, "keep_ms", 300'000));
    Listener.start();
    std::cout << "port " << Listener.port() << std::endl;
  }

private:
  void handle(Exchange &Talk) {
    const auto &Asked = Talk.request();
    if (Asked.Path == "/v1/chat/completions") {
      generate(Talk);
    } else if (Asked.Path == "/v1/load") {
      Talk.reply(answer({{"running", Running},
                         {"capacity", Switch.at("capacity")},
                         {"leaving", Switch.at("leaving") != 0}}));
    } else if (Asked.Path.starts_with("/v1/streams")) {
      Talk.reply(streams(Asked));
    } else if (Asked.Path == "/admin/switches") {
      Switch.merge(json::parse(Asked.Body));
      Talk.reply(answer({{"ok", true}}));
    } else if (Asked.Path == "/admin/account") {
      Talk.reply(account());
    } else {
      Talk.reply(answer({{"error", "not found"}}, 404));
    }
  }

  [[nodiscard]] Response account() const {
    json Rows = json::object();
    for (const auto &[Name, One] : Generations) {
      Rows[Name] = {{"tag", One.Tag},
                    {"owner", One.Owner},
                    {"prompt", One.Prompt},
                    {"tokens", One.Tokens},
                    {"ended", One.EndedMs != 0}};
    }
    return answer({{"orders", Orders},
                   {"fell_over", FellOver},
                   {"most_running", MostRunning},
                   {"generated", Generated},
                   {"failed", Failed},
                   {"after_leaving", AfterLeaving},
                   {"last_order_ms", LastOrderMs},
                   {"generations", Rows}});
  }

  Response streams(const goldcrestnotch::http::Request &Asked) {
    const std::string Prefix = "/v1/streams/";
    if (Asked.Method == "DELETE" && Asked.Path.starts_with(Prefix)) {
      const auto It = Generations.find(Asked.Path.substr(Prefix.size()));
      if (It == Generations.end()) {
        return answer({{"error", "no such stream"}}, 404);
      }
      It->second.Cancelled = true;
      return answer({{"tokens", It->second.total()}});
    }
    forget();
    const auto Owner = Asked.parameter("owner");
    json Rows = json::array();
    for (const auto &[Name, One] : Generations) {
      if (One.Owner == Owner) {
        Rows.push_back({{"id", Name},
                        {"tag", One.Tag},
                        {"tokens", One.total()},
                        {"ended", One.EndedMs != 0}});
      }
    }
    const auto Lost = Forgotten.find(Owner);
    return answer(
        {{"streams", Rows},
         {"forgotten_ms", Lost == Forgotten.end() ? 0 : Lost->second}});
  }

  void generate(Exchange &Talk) {
    const auto &Asked = Talk.request();
    ++Orders;
    LastOrderMs = wallMillis();
    if (Switch.at("leaving") != 0) {
      ++AfterLeaving;
    }
    forget();
    const std::string Name{Asked.field("X-Request-Id")};
    if (Switch.at("silent") != 0) {
      wait(Talk, [this] { return Switch.at("silent") == 0; });
      return;
    }
    if (!Generations.contains(Name) && !begin(Talk, Name)) {
      return;
    }
    Generations[Name].Owner = std::string{Asked.field("X-Owner")};
    deliver(Talk, Name,
            std::stoll("0" + std::string{Asked.field("Last-Event-ID")}));
  }

  bool begin(Exchange &Talk, const std::string &Name) {
    const bool Unlucky =
        Switch.at("fail_one_in") > 0 &&
        Orders % static_cast<std::uint64_t>(Switch.at("fail_one_in")) == 0;
    const bool Loaded =
        Switch.at("fail_above") > 0 && Running >= Switch.at("fail_above");
    if (Switch.at("fail") != 0 || Unlucky || Loaded) {
      ++Failed;
      Talk.reply(answer({{"error", "the engine failed"}}, 500));
      return false;
    }
    if (Running >= Switch.at("capacity")) {
      ++FellOver;
      Talk.reply(answer({{"error", "over capacity"}}, 500));
      return false;
    }
    const auto Body = json::parse(Talk.request().Body, nullptr, false);
    Generation Fresh;
    Fresh.Tag = std::string{Talk.request().field("X-Tag")};
    Fresh.Most = Body.value("max_tokens", std::int64_t{16});
    std::size_t Bytes = 0;
    for (const auto &One : Body.value("messages", json::array())) {
      Bytes += One.value("content", std::string{}).size();
    }
    Fresh.Prompt = static_cast<std::int64_t>(Bytes / BytesPerToken + 1);
    Generated += Fresh.Prompt;
    Generations[Name] = Fresh;
    ++Running;
    MostRunning = std::max(MostRunning, Running);
    boost::asio::spawn(Context, [this, Name](boost::asio::yield_context Yield) {
      compute(Name, Yield);
    });
    return true;
  }

  /// Generates tokens whether or not somebody reads them.
  void compute(const std::string &Name, boost::asio::yield_context Yield) {
    boost::asio::steady_timer Timer{Context};
    auto Due = std::chrono::steady_clock::now();
    while (true) {
      auto &One = Generations[Name];
      Due += Millis{One.Tokens == 0 ? Switch.at("first_ms")
                                    : Switch.at("between_ms")};
      Timer.expires_at(Due);
      Timer.async_wait(Yield);
      auto &Current = Generations[Name];
      if (Current.Cancelled || Current.Tokens >= Current.Most) {
        Current.EndedMs = wallMillis();
        break;
      }
      ++Current.Tokens;
      ++Generated;
      if (Current.Tokens >= Current.Most) {
        Current.EndedMs = wallMillis();
        break;
      }
    }
    --Running;
  }

  template <typename Condition> void wait(Exchange &Talk, Condition Holds) {
    while (!Holds() && !Talk.abandoned()) {
      sleep(Talk, Step);
    }
  }

  /// The text of a token is a function of the request and its number, as with
  /// a fixed seed.
  static std::string word(const std::string &Name, std::int64_t Number) {
    const auto Hash =
        std::hash<std::string>{}(Name + "#" + std::to_string(Number));
    return "w" + std::to_string(Hash % WordCount) + " ";
  }

  static std::string event(const std::string &Name, const Generation &One,
                           std::int64_t Number) {
    const bool Last = Number == One.Most;
    json Choice{{"index", 0}, {"delta", {{"content", word(Name, Number)}}}};
    Choice["finish_reason"] = Last ? json("length") : json(nullptr);
    const json Data{
        {"id", Name},
        {"object", "chat.completion.chunk"},
        {"choices", json::array({Choice})},
        {"usage",
         {{"prompt_tokens", One.Prompt}, {"completion_tokens", Number}}}};
    return "id: " + std::to_string(Number) + "\ndata: " + Data.dump() + "\n\n";
  }

  void deliver(Exchange &Talk, const std::string &Name, std::int64_t Sent) {
    Response Head;
    Head.Fields["Content-Type"] = "text/event-stream";
    Talk.start(Head);
    const auto Cut = Switch.at("cut_after");
    while (true) {
      const auto Copy = Generations[Name];
      std::string Bytes;
      while (Sent < Copy.Tokens) {
        if (Cut > 0 && Sent >= Cut) {
          throw boost::system::system_error{
              boost::asio::error::connection_aborted};
        }
        Bytes += event(Name, Copy, ++Sent);
      }
      if (!Bytes.empty()) {
        Talk.write(Bytes);
      }
      if (Generations[Name].EndedMs != 0 && Sent >= Generations[Name].Tokens) {
        break;
      }
      if (Talk.abandoned()) {
        return;
      }
      sleep(Talk, Step);
    }
    Talk.write("data: [DONE]\n\n");
    Talk.finish();
  }

  void forget() {
    const auto Oldest = wallMillis() - Switch.at("keep_ms");
    std::erase_if(Generations, [&](const auto &Entry) {
      const auto &One = Entry.second;
      const bool Old = One.EndedMs != 0 && One.EndedMs < Oldest;
      if (Old) {
        auto &Last = Forgotten[One.Owner];
        Last = std::max(Last, One.EndedMs);
      }
      return Old;
    });
  }

  boost::asio::io_context &Context;
  Switches Switch;
  std::map<std::string, Generation> Generations;
  std::map<std::string, std::int64_t> Forgotten; ///< Last end, by owner.
  std::int64_t Running = 0;
  std::int64_t MostRunning = 0;
  std::int64_t Generated = 0;
  std::uint64_t Orders = 0;
  std::uint64_t FellOver = 0;
  std::uint64_t Failed = 0;
  std::uint64_t AfterLeaving = 0;
  std::int64_t LastOrderMs = 0;
  Server Listener;
};

} // namespace

void runEngine(boost::asio::io_context &Context, const Options &Given) {
  const Engine Running{Context, Given};
  Context.run();
}

} // namespace standin

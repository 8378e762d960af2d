/// @file
/// Stand-in for a plain service. It counts how often each call ran, by its
/// request id and by the text of its body.

#include <iostream>

#include "standin.hpp"

namespace standin {

using goldcrestnotch::http::Endpoint;
using goldcrestnotch::http::Exchange;
using goldcrestnotch::http::Limits;
using goldcrestnotch::http::Response;
using goldcrestnotch::http::Server;

namespace {

class PlainService {
public:
  PlainService(boost::asio::io_context &Context, const Options &Given)
      : Listener{Context,
                 Endpoint{"127.0.0.1",
                          static_cast<std::uint16_t>(number(Given, "port", 0))},
                 Limits{}, [this](Exchange &Talk) { handle(Talk); }} {
    Switch.emplace("delay_ms", number(Given, "delay_ms", 1));
    Switch.emplace("fail", 0);
    Switch.emplace("run_then_cut", 0); ///< Runs, then closes without answer.
    Listener.start();
    std::cout << "port " << Listener.port() << std::endl;
  }

private:
  void handle(Exchange &Talk) {
    const auto &Asked = Talk.request();
    if (Asked.Path == "/admin/switches") {
      Switch.merge(json::parse(Asked.Body));
      Talk.reply(answer({{"ok", true}}));
    } else if (Asked.Path == "/admin/account") {
      Talk.reply(answer({{"runs", Runs}, {"bodies", Bodies}}));
    } else if (Asked.Path == "/v1/load") {
      Talk.reply(answer({{"leaving", false}}));
    } else {
      call(Talk);
    }
  }

  void call(Exchange &Talk) {
    const auto &Asked = Talk.request();
    if (Switch.at("fail") != 0) {
      Talk.reply(answer({{"error", "the service failed"}}, 500));
      return;
    }
    const auto Run = ++Runs[std::string{Asked.field("X-Request-Id")}];
    ++Bodies[Asked.Body];
    sleep(Talk, Millis{Switch.at("delay_ms")});
    if (Switch.use("run_then_cut")) {
      return;
    }
    Talk.reply(answer({{"run", Run},
                       {"method", Asked.Method},
                       {"path", Asked.Path},
                       {"body", Asked.Body}}));
  }

  Switches Switch;
  std::map<std::string, int> Runs;   ///< By request id.
  std::map<std::string, int> Bodies; ///< By body.
  Server Listener;
};

} // namespace

void runPlainService(boost::asio::io_context &Context, const Options &Given) {
  const PlainService Running{Context, Given};
  Context.run();
}

} // namespace standin

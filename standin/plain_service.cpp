/// @file
/// Stand-in for a plain HTTP service. It counts how often each call was
/// executed, by request id and by request body.

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
  PlainService(boost::asio::io_context &Context, const Options &Arguments)
      : Listener{Context,
                 Endpoint{"127.0.0.1", static_cast<std::uint16_t>(
                                           number(Arguments, "port", 0))},
                 Limits{},
                 [this](Exchange &HttpExchange) { handle(HttpExchange); }} {
    Switch.emplace("delay_ms", number(Arguments, "delay_ms", 1));
    Switch.emplace("fail", 0);
    Switch.emplace("status", 200); ///< Of responses to executed calls.
    Switch.emplace("run_then_cut",
                   0); ///< Execute the call, then close without a response.
    Listener.start();
    std::cout << "port " << Listener.port() << std::endl;
  }

private:
  void handle(Exchange &HttpExchange) {
    const auto &Request = HttpExchange.request();
    if (Request.Path == "/admin/switches") {
      Switch.merge(json::parse(Request.Body));
      HttpExchange.reply(answer({{"ok", true}}));
    } else if (Request.Path == "/admin/account") {
      HttpExchange.reply(answer({{"runs", Runs}, {"bodies", Bodies}}));
    } else if (Request.Path == "/v1/load") {
      HttpExchange.reply(answer({{"leaving", false}}));
    } else {
      call(HttpExchange);
    }
  }

  void call(Exchange &HttpExchange) {
    const auto &Request = HttpExchange.request();
    if (Switch.at("fail") != 0) {
      HttpExchange.reply(answer({{"error", "the service failed"}}, 500));
      return;
    }
    const auto Run = ++Runs[std::string{Request.field("X-Request-Id")}];
    ++Bodies[Request.Body];
    sleep(HttpExchange, Millis{Switch.at("delay_ms")});
    if (Switch.use("run_then_cut")) {
      return;
    }
    HttpExchange.reply(answer({{"run", Run},
                               {"method", Request.Method},
                               {"path", Request.Path},
                               {"body", Request.Body}},
                              static_cast<int>(Switch.at("status"))));
  }

  Switches Switch;
  std::map<std::string, int> Runs;   ///< Executions by request id.
  std::map<std::string, int> Bodies; ///< Executions by request body.
  Server Listener;
};

} // namespace

void runPlainService(boost::asio::io_context &Context,
                     const Options &Arguments) {
  const PlainService Service{Context, Arguments};
  Context.run();
}

} // namespace standin

/// @file
/// The plug-in that accepts HTTP requests of callers and operators.

#pragma once

#include <atomic>
#include <memory>

#include "goldcrestnotch/entry/call_handler.hpp"
#include "goldcrestnotch/entry/chat_handler.hpp"
#include "goldcrestnotch/entry/context.hpp"
#include "goldcrestnotch/entry/operator_handler.hpp"
#include "goldcrestnotch/http/server.hpp"

namespace goldcrestnotch {

/// @brief Listens on the entry address of the VM and dispatches requests to
/// their handlers.
class Entry final : public Plugin {
public:
  explicit Entry(Kernel &Host);

  [[nodiscard]] std::uint16_t port() const noexcept { return Listener.port(); }

  void start() override;
  void drain() override;
  [[nodiscard]] bool drained() override;

private:
  void handle(http::Exchange &Exchange);
  void dispatch(http::Exchange &Exchange);
  /// @brief Serves a chat request or service call under a trace span, unless
  /// the VM has reached its limit of concurrent requests.
  void serveRouteRequest(http::Exchange &Exchange);
  /// @brief Counts and logs an error, and sends it if no response has started.
  void replyError(http::Exchange &Exchange, const Error &Failure);
  /// @brief Lists the VMs in the order in which the workspace should try them.
  [[nodiscard]] http::Response entryList(const http::Request &Request);
  /// @brief Builds the readiness response, with status 503 if not ready.
  [[nodiscard]] http::Response ready();

  Kernel &Host;
  EntryContext Context;
  ChatHandler Chats;
  CallHandler Calls;
  OperatorHandler Operators;
  std::atomic<std::uint32_t> InProgress{0};
  http::Server Listener;
};

} // namespace goldcrestnotch

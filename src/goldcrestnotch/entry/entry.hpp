/// @file
/// The plug-in that listens for callers and operators.

#pragma once

#include <atomic>
#include <memory>

#include "goldcrestnotch/entry/call_handler.hpp"
#include "goldcrestnotch/entry/chat_handler.hpp"
#include "goldcrestnotch/entry/context.hpp"
#include "goldcrestnotch/entry/operator_handler.hpp"
#include "goldcrestnotch/http/server.hpp"

namespace goldcrestnotch {

/// @brief Owns the entry address of the VM.
class Entry final : public Plugin {
public:
  explicit Entry(Kernel &Host);

  [[nodiscard]] std::uint16_t port() const noexcept { return Listener.port(); }

  void start() override;
  void drain() override;
  [[nodiscard]] bool drained() override;

private:
  void handle(http::Exchange &Talk);
  void dispatch(http::Exchange &Talk);
  void serveWork(http::Exchange &Talk);
  void give(http::Exchange &Talk, const Error &Failure);
  [[nodiscard]] http::Response entryList(const http::Request &Asked);
  [[nodiscard]] http::Response ready();

  Kernel &Host;
  EntryContext With;
  ChatHandler Chats;
  CallHandler Calls;
  OperatorHandler Operators;
  std::atomic<std::uint32_t> InProgress{0};
  http::Server Listener;
};

} // namespace goldcrestnotch

/// @file
/// One request from its head to the end of its answer.

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/proxy/attempt_plan.hpp"
#include "goldcrestnotch/proxy/caller_connection.hpp"
#include "goldcrestnotch/proxy/proxy_context.hpp"
#include "goldcrestnotch/stream/event_framer.hpp"

namespace goldcrestnotch::proxy {

/// @brief Routes, admits and forwards a request, and answers its caller.
class Exchange {
public:
  Exchange(ProxyContext &Shared, CallerConnection &From,
           boost::asio::yield_context Yield);
  ~Exchange();
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  /// @brief Serves the request; the caller link says whether it can go on.
  void run();

private:
  class Upstream;

  [[nodiscard]] bool route();
  [[nodiscard]] bool authenticate();
  [[nodiscard]] bool reserve();
  void forward();
  [[nodiscard]] TryEnd tryOnce(const std::shared_ptr<backend::Target> &To);
  [[nodiscard]] TryEnd converse(Upstream &Over);
  [[nodiscard]] TryEnd relay(Upstream &Over);
  [[nodiscard]] TryEnd passWhole(Upstream &Over);
  [[nodiscard]] std::shared_ptr<backend::Target> choose(Instant Now);
  void judge(backend::Target &To, TryEnd End);
  void conclude(NextStep Step);
  void refuse(int Status, std::string_view Cause,
              std::optional<Millis> RetryAfter = std::nullopt);
  void noteEvents();
  void settle();
  void report() const;
  [[nodiscard]] Millis comeBack();
  [[nodiscard]] WireRequest outgoing(const backend::Registration &To,
                                     Instant Now) const;

  ProxyContext &Shared;
  CallerConnection &From;
  boost::asio::yield_context Yield;
  std::shared_ptr<const routing::RouteTable> Table; ///< As it was at arrival.
  const routing::Route *Chosen = nullptr;
  const routing::Workspace *Owner = nullptr;
  routing::ServiceId Service;
  std::optional<PromptInfo> Shape;
  Tokens Reserved; ///< Zero if nothing is.
  std::int64_t EventTokens = 1;
  Instant Until{}; ///< When the caller must have its final answer.
  EventFramer Events;
  std::uint64_t EventsPassed = 0;
  Instant TrySent{};    ///< When the last try was sent.
  Millis FirstByte{0};  ///< From there to the head of its answer.
  Instant FirstEvent{}; ///< When the first event came, if one did.
  Instant LastEvent{};
  Millis LongestGap{0}; ///< Between two events.
  TryState State;
  std::vector<TargetId> Tried;
  TryEnd LastEnd = TryEnd::Done;
  int FailureStatus = 0; ///< Of the last failure that a target answered with.
  WireFields FailureFields;
  std::string FailureBody;
  int Answered = 0;  ///< Status that the caller got, zero for none.
  std::string Cause; ///< Why it is no success; for logs.
};

} // namespace goldcrestnotch::proxy

/// @file
/// Virtual time: events run in the order of their instants; events of the same
/// instant run in the order in which they were scheduled.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "goldcrestnotch/core/instant.hpp"

namespace model {

using goldcrestnotch::Instant;
using goldcrestnotch::Millis;

/// @brief Event queue with a virtual clock.
class Timeline {
public:
  [[nodiscard]] Instant now() const noexcept { return Now; }

  /// @brief Schedules a callback.
  /// @param Delay Delay from the current virtual time.
  void after(Millis Delay, std::function<void()> Callback) {
    Events.emplace(std::pair{Now + Delay, ++LastSequence}, std::move(Callback));
  }

  /// @brief Runs all events up to and including an instant, and sets the clock
  /// to it.
  void run(Instant End) {
    while (!Events.empty() && Events.begin()->first.first <= End) {
      auto Event = Events.extract(Events.begin());
      Now = Event.key().first;
      Event.mapped()();
    }
    Now = End;
  }

private:
  Instant Now{};
  std::uint64_t LastSequence = 0;
  std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> Events;
};

} // namespace model

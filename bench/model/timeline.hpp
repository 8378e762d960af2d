/// @file
/// Virtual time: events run in order of their instants, then of their birth.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "goldcrestnotch/core/instant.hpp"

namespace model {

using goldcrestnotch::Instant;
using goldcrestnotch::Millis;

/// @brief A queue of things to happen.
class Timeline {
public:
  [[nodiscard]] Instant now() const noexcept { return Now; }

  /// @brief Lets something happen after a while.
  void after(Millis Span, std::function<void()> What) {
    Events.emplace(std::pair{Now + Span, ++Births}, std::move(What));
  }

  /// @brief Runs all events up to an instant.
  void run(Instant Until) {
    while (!Events.empty() && Events.begin()->first.first <= Until) {
      auto Node = Events.extract(Events.begin());
      Now = Node.key().first;
      Node.mapped()();
    }
    Now = Until;
  }

private:
  Instant Now{};
  std::uint64_t Births = 0;
  std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> Events;
};

} // namespace model

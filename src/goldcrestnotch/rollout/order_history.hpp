/// @file
/// Tells new move orders from known ones that a restored store contains again.

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace goldcrestnotch {

/// @brief The orders of one service, in the order in which they were given.
///
/// A restored store begins a new era. It contains orders from before its copy
/// was taken, and its operator writes the lost ones again; both are known and
/// must not begin anew. Offsets don't tell them from new orders, since they are
/// given out again. The content does: each known order returns at most once in
/// an era, and not behind a later one.
class OrderHistory {
public:
  /// Number of orders that are remembered. A copy is some seconds old, so only
  /// the latest orders can return.
  static constexpr std::size_t MaxOrders = 16;

  /// @brief Takes an order that was read from the store.
  /// @param OrderEra Era of the store in which it was read; orders of an
  /// earlier era than the latest one are not new.
  /// @return Whether the order is new and thus in force.
  [[nodiscard]] bool observe(std::uint64_t OrderEra, std::string_view Content) {
    if (OrderEra < Era) {
      return false;
    }
    if (OrderEra > Era) {
      Era = OrderEra;
      Returned = 0;
    }
    const auto Known =
        std::find(Orders.begin() + static_cast<std::ptrdiff_t>(Returned),
                  Orders.end(), Content);
    if (Known != Orders.end()) {
      Returned = static_cast<std::size_t>(Known - Orders.begin()) + 1;
      return false;
    }
    Orders.emplace_back(Content);
    if (Orders.size() > MaxOrders) {
      Orders.pop_front();
    }
    Returned = Orders.size();
    return true;
  }

private:
  std::uint64_t Era = 0;
  std::deque<std::string> Orders; ///< Contents, the latest one last.
  /// Number of orders, from the first one, that can't return in this era: they
  /// or later ones have been read in it.
  std::size_t Returned = 0;
};

} // namespace goldcrestnotch

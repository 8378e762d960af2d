/// @file
/// Tells new move orders from known ones that a restored store contains again.

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <iterator>
#include <string>
#include <string_view>

#include "goldcrestnotch/store/log.hpp"

namespace goldcrestnotch {

/// @brief The orders of one service.
///
/// A restored store begins a new era. It contains orders from before its copy
/// was taken, at their old offsets, and for a while its operator writes the
/// lost ones again, at any offset. Neither must begin anew. Offsets of two eras
/// don't tell a new order from those; the content does, as long as a known
/// order has not returned yet.
class OrderHistory {
public:
  /// Number of orders that are remembered. A copy is some seconds old, so only
  /// the latest orders can return.
  static constexpr std::size_t MaxOrders = 16;

  /// @brief Takes an order that was read from the store.
  /// @param Place Its position; orders of an earlier era than the latest one
  /// are not new.
  /// @param MayReturn Whether the operator may still be writing the orders
  /// again that the store has lost.
  /// @return Whether the order is new and thus in force.
  [[nodiscard]] bool observe(store::Position Place, std::string_view Content,
                             bool MayReturn) {
    if (Place.Era < Era) {
      return false;
    }
    if (Place.Era > Era) {
      beginEra(Place.Era);
    }
    if (isFromCopy(Place, Content) || (MayReturn && isLost(Content))) {
      return false;
    }
    Orders.push_back({Place, std::string{Content}, true});
    if (Orders.size() > MaxOrders) {
      Orders.pop_front();
    }
    return true;
  }

private:
  struct Order {
    store::Position Place;
    std::string Content;
    bool Present = false; ///< Was read in the present era.
  };

  void beginEra(std::uint64_t Next) {
    Era = Next;
    for (auto &Known : Orders) {
      Known.Present = false;
    }
  }

  /// @brief Whether a known order of an earlier era was read at its old offset.
  /// The orders before it stand in front of it, so they are not read any more.
  [[nodiscard]] bool isFromCopy(store::Position Place,
                                std::string_view Content) {
    const auto Found =
        std::find_if(Orders.begin(), Orders.end(), [&](const Order &Known) {
          return !Known.Present && Known.Place.Offset == Place.Offset &&
                 Known.Content == Content;
        });
    if (Found == Orders.end()) {
      return false;
    }
    std::for_each(Orders.begin(), std::next(Found),
                  [](Order &Known) { Known.Present = true; });
    return true;
  }

  /// @brief Whether a known order has not been read yet in the present era. The
  /// operator writes only the newest of its records again, so orders with the
  /// same content return as one.
  [[nodiscard]] bool isLost(std::string_view Content) {
    bool Found = false;
    for (auto &Known : Orders) {
      if (!Known.Present && Known.Content == Content) {
        Known.Present = true;
        Found = true;
      }
    }
    return Found;
  }

  std::uint64_t Era = 0;
  std::deque<Order> Orders; ///< The latest one last.
};

} // namespace goldcrestnotch

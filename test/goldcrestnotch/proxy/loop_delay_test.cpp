/// @file
/// What a loop that is behind does to requests.

#include "goldcrestnotch/proxy/loop_delay.hpp"

#include <deque>

#include <gtest/gtest.h>

namespace goldcrestnotch::proxy {
namespace {

constexpr Instant Start{Millis{100'000}};
constexpr Millis Work{20};

TEST(LoopDelay, FreeLoopTakesWhatCanStillBeAnswered) {
  const LoopDelay Free;
  EXPECT_EQ(Free.arrival(Start, true), Start);
  EXPECT_TRUE(Free.reaches(Start, Start + Work, Work));
  EXPECT_FALSE(Free.reaches(Start, Start + Work - Millis{1}, Work));
}

TEST(LoopDelay, RequestIsDatedBackByWhatItWaited) {
  LoopDelay Busy;
  Busy.begin(Start);
  Busy.end(Start + Millis{300});
  EXPECT_EQ(Busy.arrival(Start, false), Start - Millis{300});
  EXPECT_EQ(Busy.arrival(Start, true), Start - Millis{600});
}

TEST(LoopDelay, RefusesWhatWouldReachATargetTooLate) {
  LoopDelay Busy;
  Busy.begin(Start);
  Busy.end(Start + Millis{300});
  EXPECT_FALSE(Busy.reaches(Start, Start + Millis{900}, Work));
  EXPECT_TRUE(Busy.reaches(Start, Start + Millis{920}, Work));
}

TEST(LoopDelay, ProbeThatHasNotReturnedCounts) {
  LoopDelay Stuck;
  Stuck.begin(Start);
  EXPECT_EQ(Stuck.now(Start + Millis{500}), Millis{500});
}

/// @brief A loop that serves its queue in turn, at twice the load that it can
/// carry; callers give requests up after a deadline.
struct Overload {
  static constexpr Millis Cost{4}; ///< Of a request that is served.
  static constexpr Millis RefusalCost{1};
  static constexpr Millis Every{2}; ///< Between two arrivals.
  static constexpr Millis Patience{1'000};

  int Served = 0;
  int Wasted = 0; ///< Sent on after their callers had left.

  /// @param Sheds Whether the loop refuses what would be late.
  explicit Overload(bool Sheds) {
    std::deque<Instant> Queue;
    LoopDelay Delay;
    Instant Free = Start;
    for (Instant At = Start; At < Start + Millis{20'000}; At += Every) {
      Queue.push_back(At);
      while (!Queue.empty() && Free <= At) {
        Free = std::max(Free, Queue.front());
        const auto Sent = Queue.front();
        Queue.pop_front();
        Delay.begin(Sent);
        Delay.end(Free);
        const auto Until = Delay.arrival(Free, false) + Patience;
        if (Sheds && !Delay.reaches(Free, Until, Work)) {
          Free += RefusalCost;
          continue;
        }
        Free += Cost;
        (Free < Sent + Patience ? Served : Wasted) += 1;
      }
    }
  }
};

TEST(LoopDelay, SheddingServesMoreOfAnOverloadInTime) {
  const Overload Without{false};
  const Overload With{true};
  EXPECT_EQ(With.Wasted, 0);
  EXPECT_GT(With.Served, 5 * Without.Served);
}

} // namespace
} // namespace goldcrestnotch::proxy

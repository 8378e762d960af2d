/// @file
/// One request states the largest number there is as its most output tokens.

#include "../harness-2/bed.hpp"

namespace review {
namespace {

constexpr std::int64_t Input = 100;
constexpr std::int64_t MaxOutput = 60;
/// The budget, in chats of 100 tokens in and 5 events out.
constexpr std::int64_t Chats = 100;
constexpr std::int64_t Prepaid = Chats * (Input + 5 * Bed::EventTokens);
/// What has to fit is owed: 97 in 100 of the budget.
constexpr std::int64_t Owed = Prepaid * 97 / 100;
constexpr int StatusExhausted = 402;
constexpr int MaxDenied = 5;
constexpr int RequestsPerDenied = 500;

class UnlimitedCase {
public:
  int run() {
    Fleet.start(0);
    Fleet.start(1);
    Fleet.awaitReady(0);
    Fleet.awaitReady(1);
    pause(3'500); // All VMs know each other.
    for (int I = 0; I < Chats / 10; ++I) {
      chat();
    }
    pause(1'500);
    if (withTrouble()) {
      askWithoutLimit();
    }
    pause(3'500); // All VMs are in touch all the while.
    for (int I = 0; I < Chats; ++I) {
      chat();
    }
    Fleet.recordRuns();
    const bool Broken = Denied > MaxDenied + Number / RequestsPerDenied;
    Log.line("prepaid " + std::to_string(Prepaid) + ", consumed " +
             std::to_string(Used.tokens()) + "; of " + std::to_string(Number) +
             " requests, " + std::to_string(Denied) +
             " that fit into the budget were denied with 402" +
             (Broken ? ": DENIED is broken" : ": DENIED held"));
    return Broken ? ExitBroken : ExitHeld;
  }

private:
  void chat() {
    const bool Fits = Used.tokens() + Input + MaxOutput <= Owed;
    const auto Result =
        Fleet.call(Number % 2, {.Path = "/chat/1",
                                .AttemptId = "c" + std::to_string(Number),
                                .TokenUsage = std::to_string(Input) + "," +
                                              std::to_string(MaxOutput)});
    ++Number;
    Used.add(Input, Result);
    Denied += Fits && Result.Status == StatusExhausted ? 1 : 0;
  }

  /// @brief The replicas reject the request as if they were full, as one that
  /// is larger than their memory.
  void askWithoutLimit() {
    setBehavior(UsersReplica::Behavior::Full);
    (void)Fleet.call(0, {.Path = "/chat/1",
                         .AttemptId = "unlimited",
                         .TokenUsage = "100,9223372036854775807"});
    setBehavior(UsersReplica::Behavior::Normal);
  }

  void setBehavior(UsersReplica::Behavior Next) {
    Fleet.replica(0).CurrentBehavior = Next;
    Fleet.replica(1).CurrentBehavior = Next;
  }

  Record Log{"review/9/record.txt"};
  Bed Fleet{Log, 2, 2, Prepaid};
  Consumption Used;
  int Number = 0;
  int Denied = 0;
};

} // namespace
} // namespace review

int main() {
  return review::runCase([] { return review::UnlimitedCase{}.run(); });
}

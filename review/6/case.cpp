/// @file
/// A VM is restarted, the answer to its first write is lost, and a drill
/// brings the store back from a copy some seconds old.

#include "../harness-2/bed.hpp"

namespace review {
namespace {

constexpr std::int64_t Input = 100;
constexpr std::int64_t MaxOutput = 60;
/// The budget, in chats of 100 tokens in and 5 events out.
constexpr std::int64_t Chats = 150;
constexpr std::int64_t ChatTokens = Input + 5 * Bed::EventTokens;
constexpr std::int64_t Prepaid = Chats * ChatTokens;

class DrillCase {
public:
  int run() {
    Fleet.start(0);
    Fleet.start(1);
    Fleet.awaitReady(0);
    Fleet.awaitReady(1);
    pause(3'500); // All VMs know each other.
    for (int I = 0; I < Chats * 4 / 10; ++I) {
      chat(0);
    }
    pause(2'000); // The use is reported.
    if (withTrouble()) {
      play();
    }
    pause(6'000); // More than the time after which VMs draw again.
    for (int I = 0; I < Chats * 2 && Refused < 40; ++I) {
      chat(I % 2);
    }
    Fleet.recordRuns();
    const bool Broken = Used.tokens() > Prepaid;
    Log.line("prepaid " + std::to_string(Prepaid) + ", consumed " +
             std::to_string(Used.tokens()) +
             (Broken ? ": BUDGET is broken" : ": BUDGET held"));
    Fleet.saveLogs("target-review-2/case-6.log");
    return Broken ? ExitBroken : ExitHeld;
  }

private:
  void chat(int Vm) {
    const auto Result =
        Fleet.call(Vm, {.Path = "/chat/1",
                        .AttemptId = "c" + std::to_string(++Number),
                        .TokenUsage = std::to_string(Input) + "," +
                                      std::to_string(MaxOutput)});
    Used.add(Input, Result);
    Refused = Result.Status == 200 ? 0 : Refused + 1;
    if (Result.Status != 200) {
      pause(50);
    }
  }

  void play() {
    Fleet.Store.takeCopy();
    Log.line("the store is copied");
    pause(1'000);
    std::atomic<bool> Written{false};
    Fleet.link(0).decideBy([&](const Request &Call) {
      const bool IsWrite = Call.Path == "/api/log-append" &&
                           Call.Query.starts_with("topic=keyed.escrow");
      if (!IsWrite || Written.exchange(true)) {
        return StoreCallFate::Pass;
      }
      return StoreCallFate::LoseAnswer;
    });
    Fleet.kill(0);
    Fleet.start(0);
    while (!Written) {
      pause(5);
    }
    Log.line("vm-0 wrote to keyed.escrow; the answer is lost");
    pause(700);
    Log.line("the store is away");
    Fleet.Store.Down = true;
    pause(1'500);
    Fleet.Store.restore();
    Fleet.Store.Down = false;
    Fleet.link(0).decideBy(nullptr);
    Log.line("the store is back from the copy");
    Fleet.awaitReady(0);
    Fleet.awaitReady(1);
  }

  Record Log{"review/6/record.txt"};
  Bed Fleet{Log, 2, 2, Prepaid};
  Consumption Used;
  int Number = 0;
  int Refused = 0; ///< In a row.
};

} // namespace
} // namespace review

int main() {
  return review::runCase([] { return review::DrillCase{}.run(); });
}

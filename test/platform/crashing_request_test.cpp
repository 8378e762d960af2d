/// @file
/// End-to-end tests of a request that crashes each target that runs it, and
/// that comes again with the same path, caller and body.

#include "crashing_targets.hpp"

#include <atomic>
#include <future>
#include <ostream>

namespace platform_test {
namespace {

using Form = UsersReplica::CrashForm;

constexpr int ReplicaCount = 3;
constexpr std::size_t CrashesUntilKnown = 3;
constexpr std::size_t MaxCrashesAfter = 3;

/// @brief A request and what callers see of the crashes under it.
struct RequestCase {
  const char *Name;
  const char *Path;
  const char *TokenUsage; ///< Empty if it has no prompt.
  Form Crash;
  bool Silent = false;   ///< Open connections stay open until the replica is
                         ///< back.
  bool Replaced = false; ///< Replicas come back with another id.
};

std::ostream &operator<<(std::ostream &Output, const RequestCase &Case) {
  return Output << Case.Name;
}

const RequestCase RequestCases[] = {
    {"IdempotentEnd", "/stock/bad", "", Form::EndBeforeHead},
    {"IdempotentEndOfReplaced", "/stock/bad", "", Form::EndBeforeHead, false,
     true},
    {"IdempotentSilence", "/stock/bad", "", Form::SilentBeforeHead, true},
    {"IdempotentSilenceOfReplaced", "/stock/bad", "", Form::SilentBeforeHead,
     true, true},
    {"IdempotentEndInBody", "/stock/bad", "", Form::EndAfterHead},
    {"IdempotentSilenceInBody", "/stock/bad", "", Form::SilentAfterHead, true},
    {"IdempotentLateEnd", "/stock/bad", "", Form::LateEnd},
    {"OrderEnd", "/order/bad", "", Form::EndBeforeHead},
    {"OrderSilence", "/order/bad", "", Form::SilentBeforeHead, true},
    {"ChatEndBeforeHead", "/chat/bad", "100,60", Form::EndBeforeHead},
    {"ChatEndAfterHead", "/chat/bad", "100,60", Form::EndAfterHead},
    {"ChatEndAfterEvent", "/chat/bad", "100,60", Form::AfterEvent},
    {"ChatOnceEnd", "/once/bad", "100,60", Form::EndBeforeHead}};

class PlatformCrashingRequest
    : public CrashingTargets,
      public testing::WithParamInterface<RequestCase> {
protected:
  PlatformCrashingRequest() : CrashingTargets{ReplicaCount} {}

  void SetUp() override {
    CrashingTargets::SetUp();
    for (int I = 0; I < ReplicaCount; ++I) {
      auto &Replica = TestFleet.replica(I);
      Replica.CrashingPath = GetParam().Path;
      Replica.FormOfCrash = GetParam().Crash;
      Replica.OnCrash = [this, I](UsersReplica & /*Crashed*/) {
        recordCrash();
        takeDown(I, GetParam().Silent, GetParam().Replaced);
      };
    }
  }
  /// @brief Sends the crashing request at an interval, and sound ones of the
  /// same route and caller between.
  /// @return The share of sound requests that was served in the last part.
  double play() {
    std::vector<std::future<CallResult>> Crashing;
    std::vector<std::future<CallResult>> Sound;
    const std::string Path = GetParam().Path;
    const auto Route = Path.substr(0, Path.rfind('/') + 1);
    for (int I = 0; I < CrashingCount; ++I) {
      Crashing.push_back(callLater(Path, I % VmCount));
      for (int J = 0; J < SoundPerCrashing; ++J) {
        Sound.push_back(
            callLater(Route + std::to_string(++Number), (I + J) % VmCount));
        std::this_thread::sleep_for(CrashingInterval / SoundPerCrashing);
      }
    }
    for (auto &Request : Crashing) {
      Request.wait();
    }
    double Served = 0;
    const auto LastPart = Sound.size() / 3;
    for (std::size_t I = 0; I < Sound.size(); ++I) {
      const auto Answer = Sound[I].get();
      Served += I >= Sound.size() - LastPart && Answer.Status == 200 ? 1 : 0;
    }
    return Served / static_cast<double>(LastPart);
  }

private:
  static constexpr int CrashingCount = 48;
  static constexpr int SoundPerCrashing = 2;
  static constexpr Millis CrashingInterval{300};

  [[nodiscard]] std::future<CallResult> callLater(const std::string &Path,
                                                  int Vm) {
    const auto Id = "f" + std::to_string(++Number);
    Call Sent{Path, "key-1", Id, GetParam().TokenUsage, "1500"};
    if (!Sent.TokenUsage.empty()) {
      Sent.PromptParts = "a0:50,d" + Id + ":20";
    }
    return std::async(std::launch::async,
                      [this, Sent, Vm] { return TestFleet.call(Sent, Vm); });
  }

  std::atomic<int> Number = 0;
};

// Only parts of prompts were held responsible for the end of a target.
TEST_P(PlatformCrashingRequest, FewTargetsCrashAndSoundRequestsAreServed) {
  const auto Served = play();
  EXPECT_GE(crashCount(), CrashesUntilKnown);
  EXPECT_LE(lateCrashes(CrashesUntilKnown), MaxCrashesAfter);
  EXPECT_GE(Served, 0.9);
}

INSTANTIATE_TEST_SUITE_P(Requests, PlatformCrashingRequest,
                         testing::ValuesIn(RequestCases),
                         [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace platform_test

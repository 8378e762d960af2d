/// @file
/// Feeds mutated input to the decoders of network and log data. Each decoder
/// must accept the input or throw one of the expected errors. Seeds are fixed.

#include <random>
#include <stdexcept>

#include <gtest/gtest.h>

#include "goldcrestnotch/catalog/catalog.hpp"
#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/entry/chat_request.hpp"
#include "goldcrestnotch/ledger/ledger_state.hpp"
#include "goldcrestnotch/membership/membership_view.hpp"
#include "goldcrestnotch/notices/message.hpp"
#include "goldcrestnotch/peer/message.hpp"
#include "goldcrestnotch/ratelimit/message.hpp"
#include "goldcrestnotch/rollout/move_table.hpp"
#include "goldcrestnotch/stream/relay.hpp"

namespace goldcrestnotch {
namespace {

constexpr int MutationsPerInput = 4'000;

std::string mutate(std::string Text, std::mt19937_64 &Random) {
  const auto Edits = Random() % 4 + 1;
  for (std::uint64_t I = 0; I < Edits && !Text.empty(); ++I) {
    const auto Position = Random() % Text.size();
    switch (Random() % 4) {
    case 0:
      Text[Position] = static_cast<char>(Random());
      break;
    case 1:
      Text.erase(Position, Random() % 8 + 1);
      break;
    case 2:
      Text.insert(Position, Text.substr(Random() % Text.size(), Random() % 16));
      break;
    default:
      Text.insert(Position,
                  std::to_string(static_cast<std::int64_t>(Random())));
      break;
    }
  }
  return Text;
}

/// Passes mutations of a valid input to a decoder. Any exception of a type that
/// is not caught here fails the test.
template <typename Decoder>
void expectOnlyDecodeErrors(const std::string &ValidInput, Decoder Decode) {
  std::mt19937_64 Random{7};
  for (int I = 0; I < MutationsPerInput; ++I) {
    const auto Text = mutate(ValidInput, Random);
    try {
      Decode(Text);
    } catch (const std::invalid_argument &) {
    } catch (const std::runtime_error &) {
    } catch (const std::length_error &) {
    }
  }
}

const PoolId SamplePool{"budget/stall"};
const HolderId SampleHolder{VmId{"vm1"}, 1};

Batch sampleBatch() {
  return {SampleHolder,
          1,
          {Join{}, TopUp{SamplePool, PlanId{"p"}, Tokens{100}},
           Draw{SamplePool, Tokens{50}, Tokens{1}},
           Bill{SamplePool, RequestId{"r"}, Tokens{9}, true, {}},
           Return{SamplePool, Tokens{5}}, Claim{RequestId{"o"}},
           Outcome{RequestId{"o"}, Verdict::Ran, 200, "t", "b"},
           Release{RequestId{"x"}}, Settle{HolderId{VmId{"vm2"}, 1}, false}}};
}

TEST(Fuzz, LedgerRecordsKeepTheBooksInvariant) {
  expectOnlyDecodeErrors(encode(sampleBatch()), [](const std::string &Text) {
    const auto Record = decodeBatch(Text);
    LedgerState Target;
    Target.apply(0, {}, Record);
    for (const auto &[Name, Pool] : Target.pools()) {
      if (Pool.Version == 0) {
        EXPECT_GE(Pool.free(), Tokens{0}) << Text;
      }
    }
  });
}

TEST(Fuzz, SavedBooks) {
  LedgerState Source;
  Source.apply(0, {}, sampleBatch());
  expectOnlyDecodeErrors(Source.save(), [](const std::string &Text) {
    (void)LedgerState::load(Text);
  });
}

TEST(Fuzz, OperatorsChanges) {
  expectOnlyDecodeErrors(
      R"([{"kind":"target","name":"a","route":"r","version":"v",
        "address":"127.0.0.1:1","domain":"d","capacity":3,"leaving":false},
        {"kind":"top-up","workspace":"w","tokens":5}])",
      [](const std::string &Text) { (void)decodeChanges(Text); });
}

TEST(Fuzz, ConfigRecords) {
  const Plan SamplePlan{
      PlanId{"p"}, "op", 0,
      decodeChanges(
          R"([{"kind":"route","name":"r","serves":"chat","version":"v"}])")};
  expectOnlyDecodeErrors(encode(ConfigRecord{SamplePlan}),
                         [](const std::string &Text) {
                           Catalog Target;
                           Target.apply(0, {}, decodeConfig(Text));
                         });
}

TEST(Fuzz, RolloutRecords) {
  const Evidence SampleEvidence{
      MoveId{"m"}, SampleHolder, {1, 0, 0}, {2, 1, 1}};
  expectOnlyDecodeErrors(encode(RolloutRecord{SampleEvidence}),
                         [](const std::string &Text) {
                           MoveTable Target;
                           Target.apply(0, {}, decodeRollout(Text));
                         });
}

TEST(Fuzz, PeerMessages) {
  expectOnlyDecodeErrors(
      encode(PeerMessage{PeerHello{1, VmId{"vm1"}, "nonce"}}),
      [](const std::string &Text) { (void)decodePeer(Text); });
}

TEST(Fuzz, RateLimitMessages) {
  const ratelimit::Message Inputs[] = {
      ratelimit::PermitRequest{7, 9, RequestRate{3.5}, Millis{250}},
      ratelimit::PermitResponse{7, {true, Millis{40}}},
      ratelimit::LimitNotice{9, RequestRate{3.5}}};
  for (const auto &Input : Inputs) {
    expectOnlyDecodeErrors(
        ratelimit::encode(Input), [](const std::string &Text) {
          const auto *Bytes =
              reinterpret_cast<const unsigned char *>(Text.data());
          (void)ratelimit::decodeMessage({Bytes, Text.size()});
        });
  }
}

TEST(Fuzz, Notices) {
  const notices::Message Inputs[] = {
      notices::ViewRequest{7, {2, 8}, {0, 9}},
      notices::ViewResponse{
          7, {{2, 8}, Millis{9}}, {{0, 10}, Millis{11}}, {1, 2}, {3}, true},
      notices::CrashNotice{{7, 8}, {{9}, {10}}, Millis{11}},
      notices::ClearanceNotice{{{9}}}};
  for (const auto &Input : Inputs) {
    expectOnlyDecodeErrors(notices::encode(Input), [](const std::string &Text) {
      const auto *Bytes = reinterpret_cast<const unsigned char *>(Text.data());
      (void)notices::decodeMessage({Bytes, Text.size()});
    });
  }
}

TEST(Fuzz, LiveLists) {
  expectOnlyDecodeErrors(
      R"({"vms":[{"vm":"a","domain":"d","entry":"127.0.0.1:1",
        "peer":"127.0.0.1:2","state":"live"}]})",
      [](const std::string &Text) { (void)decodeLiveList(Text); });
}

TEST(Fuzz, AnswersOfTargets) {
  expectOnlyDecodeErrors(
      "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}],"
      "\"usage\":{\"prompt_tokens\":1}}\n\ndata: [DONE]\n\n",
      [](const std::string &Text) {
        Relay Answer;
        Answer.collectText();
        (void)Answer.feed(Text);
      });
}

TEST(Fuzz, ChatRequests) {
  const Settings DefaultSettings;
  expectOnlyDecodeErrors(
      R"({"model":"m","messages":[{"role":"user","content":"x"}],
        "max_tokens":5,"stream":true})",
      [&](const std::string &Text) {
        http::Request Request;
        Request.Body = Text;
        const auto Parsed = ChatRequest::parse(Request, DefaultSettings);
        EXPECT_GT(Parsed.Bound, Tokens{0});
      });
}

/// Returns random batches of three holders, some of them repeated.
std::vector<Batch> randomLog(std::mt19937_64 &Random) {
  std::vector<Batch> Result;
  std::map<std::uint64_t, std::uint64_t> Sequences;
  for (int I = 0; I < 120; ++I) {
    const auto HolderIndex = Random() % 3;
    const HolderId Holder{VmId{"vm" + std::to_string(HolderIndex)}, 1};
    if (!Result.empty() && Random() % 5 == 0) {
      Result.push_back(Result[Random() % Result.size()]);
      continue;
    }
    std::vector<Item> Items;
    if (Sequences[HolderIndex] == 0) {
      Items.emplace_back(Join{});
    }
    const Tokens Amount{static_cast<std::int64_t>(Random() % 60)};
    const RequestId Key{"r" + std::to_string(Random() % 20)};
    switch (Random() % 6) {
    case 0:
      Items.emplace_back(TopUp{SamplePool, PlanId{Key.str()}, Amount});
      break;
    case 1:
      Items.emplace_back(Draw{SamplePool, Amount, Amount / 2});
      break;
    case 2:
      Items.emplace_back(Bill{SamplePool, Key, Amount, true, {}});
      break;
    case 3:
      Items.emplace_back(Return{SamplePool, Amount});
      break;
    case 4:
      Items.emplace_back(Claim{Key});
      break;
    default:
      Items.emplace_back(Release{Key});
      break;
    }
    Result.push_back({Holder, ++Sequences[HolderIndex], std::move(Items)});
  }
  return Result;
}

TEST(Fuzz, SameRecordsGiveTheSameBookFromAnySnapshot) {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    std::mt19937_64 Random{Seed};
    const auto Log = randomLog(Random);
    LedgerState Expected;
    std::vector<std::string> Snapshots;
    for (std::size_t I = 0; I < Log.size(); ++I) {
      Snapshots.push_back(Expected.save());
      Expected.apply(I, LogTime{Millis{static_cast<int>(I)}}, Log[I]);
    }
    for (std::size_t SnapshotIndex = 0; SnapshotIndex < Log.size();
         SnapshotIndex += 7) {
      auto Restored = LedgerState::load(Snapshots[SnapshotIndex]);
      // A reader may receive records again that its snapshot already contains.
      for (std::size_t I = SnapshotIndex / 2; I < Log.size(); ++I) {
        Restored.apply(I, LogTime{Millis{static_cast<int>(I)}}, Log[I]);
      }
      EXPECT_EQ(Restored.save(), Expected.save())
          << Seed << " from " << SnapshotIndex;
    }
  }
}

} // namespace
} // namespace goldcrestnotch

/// @file
/// Mutated input to everything that reads the network or the log: it is refused
/// or read, and never more. Seeds are fixed.

#include <random>
#include <stdexcept>

#include <gtest/gtest.h>

#include "goldcrestnotch/catalog/catalog.hpp"
#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/entry/chat_request.hpp"
#include "goldcrestnotch/ledger/ledger_state.hpp"
#include "goldcrestnotch/membership/membership_view.hpp"
#include "goldcrestnotch/peer/message.hpp"
#include "goldcrestnotch/rollout/move_table.hpp"
#include "goldcrestnotch/stream/relay.hpp"

namespace goldcrestnotch {
namespace {

constexpr int Rounds = 4'000;

std::string mutate(std::string Text, std::mt19937_64 &Random) {
  const auto Edits = Random() % 4 + 1;
  for (std::uint64_t I = 0; I < Edits && !Text.empty(); ++I) {
    const auto At = Random() % Text.size();
    switch (Random() % 4) {
    case 0:
      Text[At] = static_cast<char>(Random());
      break;
    case 1:
      Text.erase(At, Random() % 8 + 1);
      break;
    case 2:
      Text.insert(At, Text.substr(Random() % Text.size(), Random() % 16));
      break;
    default:
      Text.insert(At, std::to_string(static_cast<std::int64_t>(Random())));
      break;
    }
  }
  return Text;
}

/// Feeds mutations of a good text; only the named errors may come out.
template <typename Reader>
void expectHardened(const std::string &Good, Reader Read) {
  std::mt19937_64 Random{7};
  for (int I = 0; I < Rounds; ++I) {
    const auto Text = mutate(Good, Random);
    try {
      Read(Text);
    } catch (const std::invalid_argument &) {
    } catch (const std::runtime_error &) {
    } catch (const std::length_error &) {
    }
  }
}

const PoolId Stall{"budget/stall"};
const HolderId One{VmId{"vm1"}, 1};

Batch sample() {
  return {One,
          1,
          {Join{}, TopUp{Stall, PlanId{"p"}, Tokens{100}},
           Draw{Stall, Tokens{50}, Tokens{1}},
           Bill{Stall, RequestId{"r"}, Tokens{9}, true, {}},
           Return{Stall, Tokens{5}}, Claim{RequestId{"o"}},
           Outcome{RequestId{"o"}, Verdict::Ran, 200, "t", "b"},
           Release{RequestId{"x"}}, Settle{HolderId{VmId{"vm2"}, 1}, false}}};
}

TEST(Fuzz, LedgerRecordsKeepTheBooksInvariant) {
  expectHardened(encode(sample()), [](const std::string &Text) {
    const auto Record = decodeBatch(Text);
    LedgerState Target;
    Target.apply(0, {}, Record);
    for (const auto &[Name, At] : Target.pools()) {
      if (At.Version == 0) {
        EXPECT_GE(At.free(), Tokens{0}) << Text;
      }
    }
  });
}

TEST(Fuzz, SavedBooks) {
  LedgerState Source;
  Source.apply(0, {}, sample());
  expectHardened(Source.save(), [](const std::string &Text) {
    (void)LedgerState::load(Text);
  });
}

TEST(Fuzz, OperatorsChanges) {
  expectHardened(
      R"([{"kind":"target","name":"a","route":"r","version":"v",
        "address":"127.0.0.1:1","domain":"d","capacity":3,"leaving":false},
        {"kind":"top-up","workspace":"w","tokens":5}])",
      [](const std::string &Text) { (void)decodeChanges(Text); });
}

TEST(Fuzz, ConfigRecords) {
  const Plan Stated{
      PlanId{"p"}, "op", 0,
      decodeChanges(
          R"([{"kind":"route","name":"r","serves":"chat","version":"v"}])")};
  expectHardened(encode(ConfigRecord{Stated}), [](const std::string &Text) {
    Catalog Target;
    Target.apply(0, {}, decodeConfig(Text));
  });
}

TEST(Fuzz, RolloutRecords) {
  const Evidence Seen{MoveId{"m"}, One, {1, 0, 0}, {2, 1, 1}};
  expectHardened(encode(RolloutRecord{Seen}), [](const std::string &Text) {
    MoveTable Target;
    Target.apply(0, {}, decodeRollout(Text));
  });
}

TEST(Fuzz, PeerMessages) {
  expectHardened(encode(PeerMessage{PeerHello{1, VmId{"vm1"}, "nonce"}}),
                 [](const std::string &Text) { (void)decodePeer(Text); });
}

TEST(Fuzz, LiveLists) {
  expectHardened(
      R"({"vms":[{"vm":"a","domain":"d","entry":"127.0.0.1:1",
        "peer":"127.0.0.1:2","state":"live"}]})",
      [](const std::string &Text) { (void)decodeLiveList(Text); });
}

TEST(Fuzz, AnswersOfTargets) {
  expectHardened("id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}],"
                 "\"usage\":{\"prompt_tokens\":1}}\n\ndata: [DONE]\n\n",
                 [](const std::string &Text) {
                   Relay Answer;
                   Answer.collectText();
                   (void)Answer.feed(Text);
                 });
}

TEST(Fuzz, ChatRequests) {
  const Settings Given;
  expectHardened(
      R"({"model":"m","messages":[{"role":"user","content":"x"}],
        "max_tokens":5,"stream":true})",
      [&](const std::string &Text) {
        http::Request Asked;
        Asked.Body = Text;
        const auto Read = ChatRequest::parse(Asked, Given);
        EXPECT_GT(Read.Bound, Tokens{0});
      });
}

/// Random records of two holders, with repeats.
std::vector<Batch> randomLog(std::mt19937_64 &Random) {
  std::vector<Batch> Result;
  std::map<std::uint64_t, std::uint64_t> Sequences;
  for (int I = 0; I < 120; ++I) {
    const auto Who = Random() % 3;
    const HolderId Holder{VmId{"vm" + std::to_string(Who)}, 1};
    if (!Result.empty() && Random() % 5 == 0) {
      Result.push_back(Result[Random() % Result.size()]);
      continue;
    }
    std::vector<Item> Items;
    if (Sequences[Who] == 0) {
      Items.emplace_back(Join{});
    }
    const Tokens Amount{static_cast<std::int64_t>(Random() % 60)};
    const RequestId Key{"r" + std::to_string(Random() % 20)};
    switch (Random() % 6) {
    case 0:
      Items.emplace_back(TopUp{Stall, PlanId{Key.str()}, Amount});
      break;
    case 1:
      Items.emplace_back(Draw{Stall, Amount, Amount / 2});
      break;
    case 2:
      Items.emplace_back(Bill{Stall, Key, Amount, true, {}});
      break;
    case 3:
      Items.emplace_back(Return{Stall, Amount});
      break;
    case 4:
      Items.emplace_back(Claim{Key});
      break;
    default:
      Items.emplace_back(Release{Key});
      break;
    }
    Result.push_back({Holder, ++Sequences[Who], std::move(Items)});
  }
  return Result;
}

TEST(Fuzz, SameRecordsGiveTheSameBookFromAnySnapshot) {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    std::mt19937_64 Random{Seed};
    const auto Log = randomLog(Random);
    LedgerState Straight;
    std::vector<std::string> Snapshots;
    for (std::size_t I = 0; I < Log.size(); ++I) {
      Snapshots.push_back(Straight.save());
      Straight.apply(I, LogTime{Millis{static_cast<int>(I)}}, Log[I]);
    }
    for (std::size_t From = 0; From < Log.size(); From += 7) {
      auto Restored = LedgerState::load(Snapshots[From]);
      // A reader may get records again that its snapshot has.
      for (std::size_t I = From / 2; I < Log.size(); ++I) {
        Restored.apply(I, LogTime{Millis{static_cast<int>(I)}}, Log[I]);
      }
      EXPECT_EQ(Restored.save(), Straight.save()) << Seed << " from " << From;
    }
  }
}

} // namespace
} // namespace goldcrestnotch

/// @file
/// VMs that share prepaid budgets, in virtual time, over a log whose answers
/// get lost, whose appends take effect late, and which is out at times. Runs
/// the product's own holder, book and keeper.

#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "goldcrestnotch/escrow/partition_sync.hpp"

namespace fleet_model {

using namespace goldcrestnotch;

/// @brief One partition with conditional appends.
class ConditionalLog {
public:
  struct Faults {
    double LostAnswer = 0; ///< Done, and the answer is lost.
    double Late = 0;       ///< Done some time later, if the condition holds.
    double Refused = 0;    ///< Nothing is done.
  };

  Faults Odds;
  bool Out = false;

  explicit ConditionalLog(std::uint64_t Seed) : Random{Seed} {}

  store::ReadResult read(boost::asio::yield_context, const store::Partition &,
                         std::uint64_t Offset, Millis) {
    fail(Out);
    store::ReadResult Result;
    Result.Next = Records.size();
    Result.Records.assign(Records.begin() + static_cast<std::ptrdiff_t>(Offset),
                          Records.end());
    return Result;
  }

  store::NewestResult newest(boost::asio::yield_context,
                             const store::Partition &, const std::string &) {
    fail(Out);
    std::map<std::string, store::Record> Newest;
    for (const auto &One : Records) {
      Newest[One.Key] = One;
    }
    store::NewestResult Result;
    Result.End = Records.size();
    for (const auto &[Key, One] : Newest) {
      if (One.Value) {
        Result.Records.push_back(One);
      }
    }
    return Result;
  }

  store::AppendResult append(boost::asio::yield_context,
                             const store::Partition &, std::uint64_t Condition,
                             const std::vector<store::Record> &Given) {
    fail(Out || chance(Odds.Refused));
    if (chance(Odds.Late)) {
      Waiting.push_back({Condition, Given});
      throw store::StoreError{"no answer", true};
    }
    const bool Done = apply(Condition, Given);
    if (chance(Odds.LostAnswer)) {
      throw store::StoreError{"no answer", true};
    }
    return {Done, Records.size()};
  }

  /// @brief Late appends may take effect now.
  void settleLate() {
    while (!Waiting.empty() && chance(0.5)) {
      apply(Waiting.front().first, Waiting.front().second);
      Waiting.pop_front();
    }
  }

private:
  static void fail(bool When) {
    if (When) {
      throw store::StoreError{"out", false};
    }
  }
  bool chance(double Odds) {
    return std::uniform_real_distribution<double>{0, 1}(Random) < Odds;
  }
  bool apply(std::uint64_t Condition, const std::vector<store::Record> &Given) {
    if (Condition != Records.size()) {
      return false;
    }
    for (auto One : Given) {
      One.Offset = Records.size();
      Records.push_back(std::move(One));
    }
    return true;
  }

  std::mt19937_64 Random;
  std::vector<store::Record> Records;
  std::deque<std::pair<std::uint64_t, std::vector<store::Record>>> Waiting;
};

/// @brief What a run is made of.
struct EscrowPlan {
  std::uint64_t Seed = 1;
  int Vms = 5;
  std::int64_t Budget = 400'000;
  Millis Length{30'000};
  double RequestsPerStep = 0.25; ///< Of a VM, each 10 ms.
  ConditionalLog::Faults Odds;
  double CrashPerStep = 0;  ///< Of a VM.
  double FreezePerStep = 0; ///< Of a VM, for 0.5 to 4 s.
  double OutPerStep = 0;    ///< Of the log, for 0.5 to 8 s.
  Millis OutageAt{-1};      ///< An outage of 8 s besides; none below zero.
  double LoanLost = 0;      ///< A loan's answer is lost.
  bool Loans = true;
  double TopUpPerStep = 0; ///< The budget grows by a tenth.
};

/// @brief What came of it.
struct EscrowOutcome {
  std::int64_t Budget = 0;
  std::int64_t Spent = 0; ///< What requests really used.
  std::int64_t MostOver = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Admitted = 0;
  std::uint64_t FalseExhausted = 0; ///< Told so though the bound was left.
  std::uint64_t FalseShort = 0;     ///< Turned away though it was left.
  /// What a loss of power of all VMs at the end would make unusable.
  std::int64_t AtStake = 0;
};

/// @brief Plays a plan.
class EscrowFleet {
public:
  explicit EscrowFleet(const EscrowPlan &Plan)
      : Plan{Plan}, Log{Plan.Seed}, Random{Plan.Seed * 7919 + 1} {
    Log.Odds = Plan.Odds;
    Out.Budget = Plan.Budget;
    for (int I = 0; I < Plan.Vms; ++I) {
      Vms.push_back(boot(I));
    }
  }

  EscrowOutcome run(boost::asio::yield_context Yield) {
    for (Millis At{0}; At < Plan.Length; At += Step) {
      Now = Instant{Millis{1'000'000} + At};
      if (At == Plan.OutageAt) {
        Log.Out = true;
        OutUntil = Now + Millis{8'000};
      }
      disturb();
      for (auto &One : Vms) {
        if (Now >= One->AwakeAt) {
          advance(*One, Yield);
        }
      }
    }
    for (const auto &One : Vms) {
      Out.AtStake = std::max(Out.AtStake,
                             One->Known.totals(Name).Drawn.count() - Out.Spent);
    }
    return Out;
  }

private:
  static constexpr Millis Step{10};
  static constexpr Millis KeepEvery{250};
  static constexpr Millis SettleEvery{1'000};
  const WorkspaceId Name{"stall"};

  struct Flight {
    Instant Ends;
    Tokens Bound;
    Tokens Uses;
  };

  struct Vm {
    Vm(ConditionalLog &Log, const escrow::HolderName &Name)
        : Held{Name}, Keep{Log, {"escrow", 0}, Known, Held, {}} {}
    escrow::HolderTable Known;
    escrow::TokenHolder Held;
    escrow::PartitionSync<ConditionalLog> Keep;
    std::deque<Flight> Flights;
    Instant KeepAt{};
    Instant SettleAt{};
    Instant AwakeAt{};
    bool Home = true;
    int Number = 0;
  };

  std::unique_ptr<Vm> boot(int Number) {
    auto Fresh = std::make_unique<Vm>(
        Log, escrow::HolderName{"vm" + std::to_string(Number),
                                std::to_string(++Boots)});
    Fresh->Number = Number;
    Fresh->Home =
        static_cast<std::size_t>(Number) <
        Fresh->Held.sizing().homeCount(static_cast<std::size_t>(Plan.Vms));
    return Fresh;
  }

  double draw() { return std::uniform_real_distribution<double>{0, 1}(Random); }
  Millis between(int Least, int Most) {
    return Millis{std::uniform_int_distribution<int>{Least, Most}(Random)};
  }

  void disturb() {
    Log.settleLate();
    if (Now >= OutUntil) {
      Log.Out = false;
      if (draw() < Plan.OutPerStep) {
        Log.Out = true;
        OutUntil = Now + between(500, 8'000);
      }
    }
    if (draw() < Plan.TopUpPerStep) {
      Out.Budget += Plan.Budget / 10;
    }
    for (std::size_t I = 0; I < Vms.size(); ++I) {
      if (draw() < Plan.CrashPerStep) {
        Vms[I] = boot(static_cast<int>(I)); // Its streams have been counted.
        Vms[I]->AwakeAt = Now + between(100, 2'000);
      } else if (draw() < Plan.FreezePerStep) {
        Vms[I]->AwakeAt = Now + between(500, 4'000);
      }
    }
  }

  void advance(Vm &One, boost::asio::yield_context Yield) {
    while (!One.Flights.empty() && One.Flights.front().Ends <= Now) {
      const auto Done = One.Flights.front();
      One.Flights.pop_front();
      One.Held.settle(Now, Name, Done.Bound, Done.Uses);
    }
    if (draw() < Plan.RequestsPerStep) {
      request(One, Yield);
    }
    if (!takesPart(One)) {
      settleUp(One);
    } else if (Now >= One.KeepAt || One.Held.writeRequested()) {
      keep(One, Yield);
    }
  }

  void keep(Vm &One, boost::asio::yield_context Yield) {
    One.KeepAt = Now + KeepEvery;
    try {
      One.Keep.step(
          Yield, Now,
          [this](const WorkspaceId &) { return Tokens{Out.Budget}; }, {Name},
          Vms.size(), [&One](const WorkspaceId &) { return One.Home; });
    } catch (const store::StoreError &) {
      // As in the daemon: the next step finds out what became of it.
    }
  }

  /// @brief Whether a VM writes a record: in large fleets, homes alone do.
  [[nodiscard]] bool takesPart(const Vm &One) const {
    const auto Fleet = static_cast<std::size_t>(Plan.Vms);
    return One.Home || Fleet <= One.Held.sizing().MaxSmallFleet;
  }

  /// @brief Tells a home what was used, and brings back what is not needed.
  void settleUp(Vm &One) {
    if (Now < One.SettleAt) {
      return;
    }
    One.SettleAt = Now + SettleEvery;
    const auto Homes =
        One.Held.sizing().homeCount(static_cast<std::size_t>(Plan.Vms));
    auto &Home = *Vms[static_cast<std::size_t>(One.Number) % Homes];
    if (Now < Home.AwakeAt) {
      return;
    }
    const auto Back = One.Held.takeSurplus(Now, Name);
    const auto Used = One.Held.takeUnreportedUse(Name);
    if (draw() >= Plan.LoanLost) {
      Home.Held.acceptReturn(Now, Name, Back);
      Home.Held.confirmUse(Name, Used);
    }
  }

  void request(Vm &One, boost::asio::yield_context Yield) {
    ++Out.Requests;
    const Tokens Bound{std::uniform_int_distribution<int>{100, 2'000}(Random)};
    const Tokens Uses{
        std::uniform_int_distribution<std::int64_t>{50, Bound.count()}(Random)};
    auto Got =
        One.Held.reserve(Now, One.Known, Name, Tokens{Out.Budget}, Bound);
    if (Got == escrow::Admission::Short && Plan.Loans) {
      borrow(One, Bound, Yield);
      Got = One.Held.reserve(Now, One.Known, Name, Tokens{Out.Budget}, Bound);
    }
    if (Got == escrow::Admission::Short) {
      One.Held.requestTokens(Now, Name, Bound);
      One.Held.recordUnmetDemand(Now, Name, Bound);
    }
    if (Got != escrow::Admission::Admitted) {
      const bool Left = Out.Budget - Out.Spent >= Bound.count();
      Out.FalseExhausted += Left && Got == escrow::Admission::Exhausted;
      Out.FalseShort += Left && Got == escrow::Admission::Short;
      return;
    }
    ++Out.Admitted;
    // Counted as it is sent: a crash right after takes nothing back.
    Out.Spent += Uses.count();
    Out.MostOver = std::max(Out.MostOver, Out.Spent - Out.Budget);
    One.Flights.push_back({Now + between(100, 2'500), Bound, Uses});
    std::sort(One.Flights.begin(), One.Flights.end(),
              [](const Flight &A, const Flight &B) { return A.Ends < B.Ends; });
  }

  void borrow(Vm &One, Tokens Bound, boost::asio::yield_context Yield) {
    const auto First =
        static_cast<std::size_t>(One.Number) %
        One.Held.sizing().homeCount(static_cast<std::size_t>(Plan.Vms));
    for (std::size_t I = 0; I < Vms.size(); ++I) {
      const auto &Other = Vms[(First + I) % Vms.size()];
      if (One.Held.available(Name) >= Bound) {
        return;
      }
      if (Other.get() == &One || Now < Other->AwakeAt || !takesPart(*Other)) {
        continue;
      }
      const auto Used = One.Held.takeUnreportedUse(Name);
      Other->Held.confirmUse(Name, Used);
      const auto Need = Bound - One.Held.available(Name);
      if (Other->Held.available(Name) < Need) {
        Other->Held.requestTokens(Now, Name, Need);
        keep(*Other, Yield);
      }
      const auto Given = Other->Held.lend(
          Now, Name, One.Held.amountToBorrow(Now, Name, Bound));
      if (draw() >= Plan.LoanLost) {
        One.Held.acceptLoan(Name, Given);
      }
    }
  }

  EscrowPlan Plan;
  ConditionalLog Log;
  std::mt19937_64 Random;
  std::vector<std::unique_ptr<Vm>> Vms;
  EscrowOutcome Out;
  Instant Now{};
  Instant OutUntil{};
  int Boots = 0;
};

/// @brief Plays a plan to its end.
inline EscrowOutcome playEscrow(const EscrowPlan &Plan) {
  boost::asio::io_context Loop;
  EscrowOutcome Result;
  boost::asio::spawn(Loop, [&](boost::asio::yield_context Yield) {
    Result = EscrowFleet{Plan}.run(Yield);
  });
  Loop.run();
  return Result;
}

} // namespace fleet_model

/// @file
/// A model of the ledger in virtual time: VMs with their real journals, holders
/// and folds around a fake log that can be cut off, go down, or lose answers.
/// Engines and callers are reduced to what budgets see of them.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "goldcrestnotch/ledger/book.hpp"
#include "goldcrestnotch/ledger/holder.hpp"
#include "goldcrestnotch/ledger/journal.hpp"
#include "model/timeline.hpp"

namespace model {

using namespace goldcrestnotch;

/// @brief Times of the fake log.
struct LogTimes {
  Millis Append{4}; ///< From an append to its record standing in the log.
  Millis Answer{2}; ///< From there to the answer.
  Millis Read{3};   ///< From there to a reader.
  Millis Timeout{3'000};
  Millis Spacing{50};
};

/// @brief What came of the requests of a run.
struct Tally {
  std::uint64_t Arrived = 0;
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  std::uint64_t FalselyRefused = 0; ///< Enough remained, all-knowing.
  std::uint64_t Lost = 0;           ///< Arrived at a dead VM.
  std::uint64_t Appends = 0;
  Millis LongestWait{0};
};

/// @brief A budget as an all-knowing counter sees it.
struct Truth {
  Tokens Total;    ///< Topped up so far.
  Tokens Used;     ///< Generated so far, billed or not.
  Tokens Reserved; ///< Bounds of requests in progress.

  [[nodiscard]] Tokens remaining() const noexcept {
    return Total - Used - Reserved;
  }
};

/// @brief The fleet.
/// @tparam Sizing Policy under test.
template <typename Sizing> class LedgerFleet {
public:
  LedgerFleet(std::size_t Count, std::uint64_t Seed, LogTimes Times = {},
              Sizing Size = {}, HolderTimes Waits = {})
      : Times{Times}, Size{Size}, Waits{Waits}, Random{Seed} {
    for (std::size_t I = 0; I < Count; ++I) {
      Vms.push_back(std::make_unique<Vm>());
      boot(I);
    }
  }

  [[nodiscard]] Timeline &time() noexcept { return Clock; }
  [[nodiscard]] const Tally &tally() const noexcept { return Counts; }
  [[nodiscard]] const Truth &truth(const PoolId &Name) { return Truths[Name]; }
  [[nodiscard]] std::size_t size() const noexcept { return Vms.size(); }
  [[nodiscard]] std::mt19937_64 &random() noexcept { return Random; }
  /// @brief The fold of the whole log.
  [[nodiscard]] const Book &book() const noexcept { return Whole; }
  /// @brief The most that was ever used of a pool beyond its total.
  [[nodiscard]] Tokens overspend() const noexcept { return Overspent; }

  void topUp(const PoolId &Name, Tokens Amount) {
    Truths[Name].Total += Amount;
    const PlanId Plan{"plan" + std::to_string(++LastPlan)};
    enter(Batch{Operators, ++OperatorSequence,
                OperatorSequence == 1
                    ? std::vector<Item>{Join{}, TopUp{Name, Plan, Amount}}
                    : std::vector<Item>{TopUp{Name, Plan, Amount}}});
  }

  /// @brief A request arrives at a VM.
  /// @param Actual What it uses if it runs to its end.
  void request(std::size_t At, const PoolId &Name, Tokens Bound, Tokens Actual,
               Millis Length) {
    ++Counts.Arrived;
    auto &Where = *Vms[At];
    if (!Where.Alive) {
      ++Counts.Lost;
      return;
    }
    const auto Ticket = ++LastTicket;
    Where.Asked[Ticket] = {Name, Bound, Actual, Length, Clock.now()};
    tell(At, Where.Desk->request(Clock.now(), Where.Fold, Ticket, Name, Bound));
    kick(At);
  }

  /// @brief Cuts a VM off the log, or mends the cut.
  void cut(std::size_t At, bool Off) {
    Vms[At]->Cut = Off;
    if (!Off) {
      catchUp(At);
    }
  }
  void outage(bool Down) {
    for (std::size_t I = 0; I < Vms.size(); ++I) {
      cut(I, Down);
    }
  }
  /// @brief The next appends take effect, but their answers are lost.
  void loseAnswers(int Count) { AnswersToLose = Count; }

  /// @brief Kills a VM; a new daemon starts after a while and is swept for.
  void crash(std::size_t At, Millis RestartAfter) {
    auto &Where = *Vms[At];
    Where.Alive = false;
    ++Where.Life;
    const HolderId Dead = Where.Self;
    std::vector<Item> Swept;
    for (auto &[Ticket, One] : Where.Running) {
      auto &At = Truths[One.Pool];
      const auto Used = portion(One);
      At.Reserved -= One.Bound;
      use(One.Pool, Used);
      Swept.emplace_back(Bill{One.Pool, requestOf(Ticket), Used, true, Dead});
    }
    Where.Running.clear();
    Where.Asked.clear();
    Swept.emplace_back(Settle{Dead, false});
    Clock.after(RestartAfter, [this, At, Swept] {
      boot(At);
      Clock.after(SweepDelay, [this, At, Swept] {
        for (const auto &One : Swept) {
          Vms[At]->Out->emplace(One);
        }
        kick(At);
      });
    });
  }

private:
  static constexpr Millis Tick{100};
  static constexpr Millis SweepDelay{700};
  static constexpr Millis Backoff{200};

  struct Request {
    PoolId Pool;
    Tokens Bound;
    Tokens Actual;
    Millis Length;
    Instant Begun;
  };

  struct Vm {
    HolderId Self;
    std::unique_ptr<Journal> Out;
    std::unique_ptr<Holder<Sizing>> Desk;
    Book Fold;
    std::map<std::uint64_t, Request> Asked;
    std::map<std::uint64_t, Request> Running;
    std::uint64_t Life = 0; ///< Events of an earlier life are void.
    bool Alive = false;
    bool Cut = false;
  };

  struct Entry {
    LogTime When;
    Batch Record;
  };

  [[nodiscard]] static RequestId requestOf(std::uint64_t Ticket) {
    return RequestId{"r" + std::to_string(Ticket)};
  }

  void boot(std::size_t At) {
    auto &Where = *Vms[At];
    ++Where.Life;
    Where.Alive = true;
    Where.Self = {VmId{"vm" + std::to_string(At)}, Where.Life};
    Where.Out = std::make_unique<Journal>(Where.Self, Times.Spacing);
    Where.Desk = std::make_unique<Holder<Sizing>>(*Where.Out, Waits, Size);
    Where.Fold = Book{};
    catchUp(At);
    kick(At);
    tick(At, Where.Life);
  }

  void tick(std::size_t At, std::uint64_t Life) {
    Clock.after(Tick, [this, At, Life] {
      if (Vms[At]->Life == Life) {
        poll(At);
        tick(At, Life);
      }
    });
  }

  void poll(std::size_t At) {
    auto &Where = *Vms[At];
    tell(At, Where.Desk->poll(Clock.now(), Where.Fold));
    kick(At);
  }

  void kick(std::size_t At) {
    auto &Where = *Vms[At];
    const auto Deadline = Where.Out->deadline();
    if (!Where.Alive || Deadline == Instant::max()) {
      return;
    }
    const auto Wait = std::max(Deadline - Clock.now(), Millis{0});
    const auto Life = Where.Life;
    Clock.after(Wait, [this, At, Life] {
      if (Vms[At]->Life == Life) {
        send(At);
      }
    });
  }

  void send(std::size_t At) {
    auto &Where = *Vms[At];
    const auto Next = Where.Out->poll(Clock.now());
    if (!Next) {
      return;
    }
    const auto Life = Where.Life;
    const bool Lost = Where.Cut || AnswersToLose > 0;
    if (!Where.Cut) {
      AnswersToLose -= AnswersToLose > 0 ? 1 : 0;
      Clock.after(Times.Append, [this, Record = *Next] { enter(Record); });
    }
    const auto Wait = Lost ? Times.Timeout : Times.Append + Times.Answer;
    Clock.after(Wait, [this, At, Life, Lost, Sequence = Next->Sequence] {
      if (Vms[At]->Life != Life) {
        return;
      }
      if (Lost) {
        Vms[At]->Out->fail(Clock.now(), Backoff);
      } else {
        Vms[At]->Out->acknowledge(Sequence);
      }
      kick(At);
    });
  }

  void enter(const Batch &Record) {
    ++Counts.Appends;
    const LogTime When{Clock.now().time_since_epoch()};
    Log.push_back({When, Record});
    Whole.apply(Log.size() - 1, When, Record);
    for (std::size_t I = 0; I < Vms.size(); ++I) {
      const auto Life = Vms[I]->Life;
      Clock.after(Times.Read, [this, I, Life] {
        if (Vms[I]->Life == Life) {
          catchUp(I);
          poll(I);
        }
      });
    }
  }

  void catchUp(std::size_t At) {
    auto &Where = *Vms[At];
    while (!Where.Cut && Where.Fold.next() < Log.size()) {
      const auto Offset = Where.Fold.next();
      Where.Fold.apply(Offset, Log[Offset].When, Log[Offset].Record);
    }
  }

  void tell(std::size_t At, const std::vector<Decision> &Some) {
    auto &Where = *Vms[At];
    for (const auto &One : Some) {
      const auto Ticket =
          std::visit([](const auto &D) { return D.Ticket; }, One);
      const auto Request = Where.Asked.at(Ticket);
      Where.Asked.erase(Ticket);
      Counts.LongestWait =
          std::max(Counts.LongestWait, Clock.now() - Request.Begun);
      if (std::holds_alternative<Admitted>(One)) {
        begin(At, Ticket, Request);
      } else {
        ++Counts.Refused;
        Counts.FalselyRefused +=
            Truths[Request.Pool].remaining() >= Request.Bound ? 1 : 0;
      }
    }
  }

  void begin(std::size_t At, std::uint64_t Ticket, Request One) {
    ++Counts.Admitted;
    auto &Where = *Vms[At];
    One.Begun = Clock.now();
    Truths[One.Pool].Reserved += One.Bound;
    Where.Running[Ticket] = One;
    const auto Life = Where.Life;
    Clock.after(One.Length, [this, At, Life, Ticket] {
      if (Vms[At]->Life == Life) {
        end(At, Ticket);
      }
    });
  }

  void end(std::size_t At, std::uint64_t Ticket) {
    auto &Where = *Vms[At];
    const auto One = Where.Running.at(Ticket);
    Where.Running.erase(Ticket);
    Truths[One.Pool].Reserved -= One.Bound;
    use(One.Pool, One.Actual);
    Where.Desk->settle(Clock.now(), One.Pool, One.Bound, One.Actual,
                       requestOf(Ticket), false);
    poll(At);
  }

  void use(const PoolId &Name, Tokens Amount) {
    auto &At = Truths[Name];
    At.Used += Amount;
    Overspent = std::max(Overspent, At.Used - At.Total);
  }

  /// @brief What a request had used when its VM died.
  [[nodiscard]] Tokens portion(const Request &One) const {
    const auto Passed = Clock.now() - One.Begun;
    return Tokens{One.Actual.count() * Passed.count() /
                  std::max<std::int64_t>(One.Length.count(), 1)};
  }

  LogTimes Times;
  Sizing Size;
  HolderTimes Waits;
  std::mt19937_64 Random;
  Timeline Clock;
  std::vector<std::unique_ptr<Vm>> Vms;
  std::vector<Entry> Log;
  Book Whole;
  std::map<PoolId, Truth> Truths;
  HolderId Operators{VmId{"operators"}, 1};
  std::uint64_t OperatorSequence = 0;
  std::uint64_t LastPlan = 0;
  std::uint64_t LastTicket = 0;
  int AnswersToLose = 0;
  Tally Counts;
  Tokens Overspent;
};

} // namespace model

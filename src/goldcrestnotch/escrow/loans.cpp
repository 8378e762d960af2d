/// @file
/// Loans over HTTP between VMs.

#include "goldcrestnotch/escrow/loans.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::escrow {

namespace internal {

/// VMs asked for one shortage: as many as hold a workspace's tokens ahead.
static constexpr std::size_t MostAsked = 8;
/// After asking in vain, nobody is asked for as much for this long.
static constexpr Millis VainPause{200};

// Parameters of the call.
static constexpr const char *NameField = "workspace";
static constexpr const char *AheadField = "tokens"; ///< Wanted in all.
static constexpr const char *NeedField = "need";    ///< Of these, for now.
static constexpr const char *BoundField = "bound";  ///< Of the request.
static constexpr const char *UsedField = "used";    ///< Of earlier loans.
static constexpr const char *BackField = "back";    ///< Not needed any more.

[[nodiscard]] static Tokens tokensOf(const http::Request &Asked,
                                     const char *Name) {
  const auto Text = Asked.parameter(Name);
  std::int64_t Result = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Result);
  return Tokens{std::max<std::int64_t>(Result, 0)};
}

static void add(std::string &Query, const char *Name, Tokens Count) {
  if (Count > Tokens{}) {
    Query += std::string{"&"} + Name + "=" + std::to_string(Count.count());
  }
}

} // namespace internal

bool Loans::vain(const WorkspaceId &Name, Tokens Short, Instant Now) const {
  const auto It = Vain.find(Name);
  return It != Vain.end() && Now < It->second.Deadline &&
         Short >= It->second.Short;
}

std::vector<std::string> Loans::candidates(const WorkspaceId &Name,
                                           Instant Now) {
  // Whoever reads the partition knows who holds most; homes can draw more.
  auto Result = Others.rank(Parts.of(Name).Known, Parts.name().Vm, Name, Now);
  for (const auto &Home : Near.otherHomes(Name)) {
    const bool Listed =
        std::find(Result.begin(), Result.end(), Home) != Result.end();
    if (!Listed && !Others.silent(Home, Now)) {
      Result.push_back(Home);
    }
  }
  Result.resize(std::min(Result.size(), internal::MostAsked));
  return Result;
}

LoanEnd Loans::borrow(boost::asio::yield_context Yield, const WorkspaceId &Name,
                      Tokens Bound, Instant Until) {
  auto &Held = Parts.of(Name).Held;
  if (vain(Name, Bound - Held.available(Name), DecisionClock::now())) {
    return LoanEnd::Vain;
  }
  if (!Asking.insert(Name).second) {
    return LoanEnd::Busy;
  }
  Tokens Given;
  bool Exhausted = false;
  for (const auto &Address : candidates(Name, DecisionClock::now())) {
    if (Exhausted || Held.available(Name) >= Bound ||
        DecisionClock::now() >= Until) {
      break;
    }
    const auto Got = ask(Yield, Address, Name, Bound);
    Given += Got.Given;
    Exhausted = Got.Exhausted;
  }
  Asking.erase(Name);
  if (Held.available(Name) < Bound) {
    Vain[Name] = {Bound - Held.available(Name),
                  DecisionClock::now() + internal::VainPause};
    return Exhausted ? LoanEnd::Exhausted : LoanEnd::Nothing;
  }
  return Given > Tokens{} ? LoanEnd::Given : LoanEnd::Nothing;
}

Loans::Answer Loans::read(const std::string &Body) {
  std::istringstream In{Body};
  std::int64_t Given = 0;
  std::int64_t Left = 0;
  bool Exhausted = false;
  In >> Given >> Left >> Exhausted;
  return {Tokens{std::max<std::int64_t>(Given, 0)}, Tokens{Left}, Exhausted};
}

Loans::Answer Loans::ask(boost::asio::yield_context Yield,
                         const std::string &Address, const WorkspaceId &Name,
                         Tokens Bound) {
  auto &Part = Parts.of(Name);
  const auto Now = DecisionClock::now();
  const auto Used = Part.Held.takeUnreportedUse(Name);
  http::Request Call;
  Call.Method = "POST";
  Call.Path = Path;
  Call.Query = std::string{internal::NameField} + "=" + Name.str();
  internal::add(Call.Query, internal::AheadField,
                Part.Held.amountToBorrow(Now, Name, Bound));
  internal::add(Call.Query, internal::NeedField,
                Bound - Part.Held.available(Name));
  internal::add(Call.Query, internal::BoundField, Bound);
  internal::add(Call.Query, internal::UsedField, Used);
  try {
    const auto Got = read(Links.call(Yield, Address, Call).Body);
    Part.Held.acceptLoan(Name, Got.Given);
    Others.told(Part.Known, Address, Name, Got.Left, DecisionClock::now());
    Measured.count("tokens_borrowed_total",
                   static_cast<std::uint64_t>(Got.Given.count()));
    return Got;
  } catch (const Error &Failure) {
    // What it gave is lost to both; it counts as spent there.
    Others.silence(Address, Now);
    if (Failure.verdict() == Verdict::NotRun) {
      Part.Held.restoreUnreportedUse(Name, Used);
    }
    log(LogLevel::Debug, "loan.failed",
        {{"peer", Address}, {"cause", std::string{Failure.what()}}});
  }
  return {};
}

bool Loans::refused(boost::asio::yield_context Yield,
                    const std::string &Address, const WorkspaceId &Name,
                    Tokens Back, Tokens Used) {
  http::Request Call;
  Call.Method = "POST";
  Call.Path = Path;
  Call.Query = std::string{internal::NameField} + "=" + Name.str();
  internal::add(Call.Query, internal::BackField, Back);
  internal::add(Call.Query, internal::UsedField, Used);
  try {
    return Links.call(Yield, Address, Call).Status != 200;
  } catch (const Error &Failure) {
    Others.silence(Address, DecisionClock::now());
    // It may have been taken: offering it again could count it twice.
    return Failure.verdict() == Verdict::NotRun;
  }
}

void Loans::settleLoans(boost::asio::yield_context Yield) {
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    auto &Held = Parts.at(I).Held;
    if (Held.joined()) {
      continue; // Its own record says so.
    }
    for (const auto &Name : Held.workspaces()) {
      const auto Back = Held.takeSurplus(DecisionClock::now(), Name);
      const auto Used = Held.takeUnreportedUse(Name);
      if (Back == Tokens{} && Used == Tokens{}) {
        continue;
      }
      bool Taken = false;
      const auto Homes = Near.otherHomes(Name); // Copied: it may change meanwhile.
      for (auto It = Homes.begin(); !Taken && It != Homes.end(); ++It) {
        Taken = !Others.silent(*It, DecisionClock::now()) &&
                !refused(Yield, *It, Name, Back, Used);
      }
      if (!Taken) {
        Held.acceptLoan(Name, Back);
        Held.restoreUnreportedUse(Name, Used);
      }
    }
  }
}

void Loans::handOver(boost::asio::yield_context Yield,
                     const std::vector<std::string> &Vms) {
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    auto &Held = Parts.at(I).Held;
    for (const auto &Name : Held.workspaces()) {
      const auto Given =
          Held.lend(DecisionClock::now(), Name, Held.available(Name));
      const auto Used = Held.takeUnreportedUse(Name);
      if (Given == Tokens{} && Used == Tokens{}) {
        continue;
      }
      auto Takers = Near.otherHomes(Name);
      Takers.insert(Takers.end(), Vms.begin(), Vms.end());
      bool Taken = false;
      for (auto It = Takers.begin(); !Taken && It != Takers.end(); ++It) {
        Taken = !refused(Yield, *It, Name, Given, Used);
      }
      log(LogLevel::Info, "loan.gift",
          {{"workspace", Name.str()},
           {"tokens", Given.count()},
           {"taken", Taken}});
    }
  }
}

void Loans::serve(http::Exchange &Talk) {
  const auto &Asked = Talk.request();
  const WorkspaceId Name{Asked.parameter(internal::NameField)};
  http::Response Out;
  Out.Fields["Content-Type"] = "text/plain";
  if (!Parts.opened()) {
    Out.Status = 503;
    Talk.reply(Out);
    return;
  }
  auto &[Known, Held] = Parts.of(Name);
  const auto Now = DecisionClock::now();
  Held.confirmUse(Name, internal::tokensOf(Asked, internal::UsedField));
  if (const auto Back = internal::tokensOf(Asked, internal::BackField);
      Back > Tokens{}) {
    Held.acceptReturn(Now, Name, Back);
    Budgets.notifyWaiters();
  }
  const auto Budget = Limits ? Limits(Name) : std::nullopt;
  const auto Need = internal::tokensOf(Asked, internal::NeedField);
  if (Budget && Need > Tokens{}) {
    Budgets.supply(Talk.yield(), Name, *Budget, Need);
  }
  const Tokens Given = Held.lend(
      DecisionClock::now(), Name,
      std::max(Need, internal::tokensOf(Asked, internal::AheadField)));
  const bool Exhausted =
      Budget && Held.joined() && Given < Need &&
      Held.exhausted(Known, Name, *Budget,
                     internal::tokensOf(Asked, internal::BoundField));
  Measured.count("tokens_lent_total",
                 static_cast<std::uint64_t>(Given.count()));
  Out.Body = std::to_string(Given.count()) + " " +
             std::to_string(Held.available(Name).count()) + " " +
             std::to_string(Exhausted ? 1 : 0);
  Talk.reply(Out);
}

} // namespace goldcrestnotch::escrow

/// @file
/// Loans over HTTP between VMs.

#include "goldcrestnotch/escrow/loans.hpp"

#include <charconv>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/http/client.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::escrow {

namespace internal {

/// VMs asked for one shortage: as many as hold a workspace's tokens ahead.
static constexpr std::size_t MostAsked = 8;
/// A VM of the same region takes a connection within this.
static constexpr Millis ConnectWait{60};
/// A loan whose answer is not awaited is lost to both, so a full link is waited
/// for.
static constexpr Millis AnswerWait{500};
/// After asking in vain, nobody is asked for as much for this long.
static constexpr Millis VainPause{200};

[[nodiscard]] static std::int64_t numberOf(const std::string &Text) {
  std::int64_t Result = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Result);
  return Result;
}

/// @brief Reads "given left", the body of an answer.
[[nodiscard]] static std::pair<Tokens, Tokens>
answerOf(const std::string &Text) {
  const auto Gap = Text.find(' ');
  const auto Left =
      Gap == std::string::npos ? std::string{} : Text.substr(Gap + 1);
  return {Tokens{numberOf(Text)}, Tokens{numberOf(Left)}};
}

} // namespace internal

bool Loans::home(const WorkspaceId &Name) const {
  const auto &Own = Held.name().Vm;
  const auto RankOf = [&Name](const std::string &Vm) {
    return std::pair{rendezvous(Name.str(), Vm), Vm};
  };
  const auto OwnRank = RankOf(Own);
  std::size_t Live = 0;
  std::size_t Above = 0;
  bool Listed = false;
  for (const auto &[Holder, Entry] : Known.entries()) {
    if (!Entry.Record || Entry.Record->Leaving) {
      continue;
    }
    ++Live;
    Listed |= Holder.Vm == Own;
    Above += RankOf(Holder.Vm) > OwnRank ? 1 : 0;
  }
  const auto Homes = Held.sizing().Homes;
  return Live < Homes || (Listed && Above < Homes);
}

bool Loans::vain(const WorkspaceId &Name, Tokens Short, Instant Now) const {
  const auto It = Vain.find(Name);
  return It != Vain.end() && Now < It->second.Deadline &&
         Short >= It->second.Short;
}

bool Loans::borrow(boost::asio::yield_context Yield, const WorkspaceId &Name,
                   Tokens Bound, Instant Until) {
  if (vain(Name, Bound - Held.available(Name), DecisionClock::now()) ||
      !Asking.insert(Name).second) {
    return false;
  }
  Tokens Given;
  std::size_t Asked = 0;
  for (const auto &Address :
       Others.rank(Known, Held.name().Vm, Name, DecisionClock::now())) {
    if (Asked == internal::MostAsked || Held.available(Name) >= Bound ||
        DecisionClock::now() >= Until) {
      break;
    }
    ++Asked;
    Given += ask(Yield, Address, Name, Bound);
  }
  if (Held.available(Name) < Bound) {
    Vain[Name] = {Bound - Held.available(Name),
                  DecisionClock::now() + internal::VainPause};
  }
  Asking.erase(Name);
  return Given > Tokens{};
}

Tokens Loans::ask(boost::asio::yield_context Yield, const std::string &Address,
                  const WorkspaceId &Name, Tokens Bound) {
  const auto Now = DecisionClock::now();
  http::Request Call;
  Call.Method = "POST";
  Call.Path = Path;
  Call.Query = "workspace=" + Name.str() + "&tokens=" +
               std::to_string(Held.borrowing(Now, Name, Bound).count());
  try {
    http::Client Link{Yield, http::Endpoint::parse(Address)};
    Link.connectBy(Now + internal::ConnectWait);
    const auto Answer = Link.send(Call, Now + internal::AnswerWait);
    const auto [Given, Left] = internal::answerOf(Answer.Body);
    Held.borrow(Name, Given);
    Others.told(Known, Address, Name, Left, DecisionClock::now());
    Measured.count("tokens_borrowed_total",
                   static_cast<std::uint64_t>(Given.count()));
    return Given;
  } catch (const Error &Failure) {
    // What it gave is lost to both; it counts as spent there.
    Others.silent(Address, Now);
    log(LogLevel::Debug, "loan.failed",
        {{"peer", Address}, {"cause", std::string{Failure.what()}}});
  }
  return {};
}

void Loans::giveAway(boost::asio::yield_context Yield,
                     const std::vector<std::string> &Vms) {
  for (const auto &Name : Held.workspaces()) {
    const auto Given =
        Held.lend(DecisionClock::now(), Name, Held.available(Name));
    bool Taken = Given == Tokens{};
    for (auto It = Vms.begin(); !Taken && It != Vms.end(); ++It) {
      http::Request Call;
      Call.Method = "POST";
      Call.Path = Path;
      Call.Query = "workspace=" + Name.str() +
                   "&tokens=" + std::to_string(-Given.count());
      try {
        http::Client Link{Yield, http::Endpoint::parse(*It)};
        Link.connectBy(DecisionClock::now() + internal::ConnectWait);
        const auto Until = DecisionClock::now() + internal::AnswerWait;
        Taken = Link.send(Call, Until).Status == 200;
        break;
      } catch (const Error &Failure) {
        // It may have been taken: offering it again could count it twice.
        Taken = Failure.verdict() != Verdict::NotRun;
      }
    }
    log(LogLevel::Info, "loan.gift",
        {{"workspace", Name.str()},
         {"tokens", Given.count()},
         {"taken", Taken}});
  }
}

void Loans::serve(http::Exchange &Talk) {
  const auto &Asked = Talk.request();
  const WorkspaceId Name{Asked.parameter("workspace")};
  const Tokens Wanted{internal::numberOf(Asked.parameter("tokens"))};
  Tokens Given;
  if (Wanted < Tokens{}) {
    Held.borrow(Name, Tokens{} - Wanted);
  } else {
    Given = Held.lend(DecisionClock::now(), Name, Wanted);
  }
  Measured.count("tokens_lent_total",
                 static_cast<std::uint64_t>(Given.count()));
  http::Response Answer;
  Answer.Fields["Content-Type"] = "text/plain";
  Answer.Body = std::to_string(Given.count()) + " " +
                std::to_string(Held.available(Name).count());
  Talk.reply(Answer);
}

} // namespace goldcrestnotch::escrow

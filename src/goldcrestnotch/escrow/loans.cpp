/// @file
/// Loan requests between VMs over HTTP.

#include "goldcrestnotch/escrow/loans.hpp"

#include <algorithm>
#include <sstream>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/query.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::escrow {

namespace internal {

/// Maximum number of VMs asked in one attempt: as many as prefetch tokens of a
/// workspace.
static constexpr std::size_t MaxLendersAsked = 8;
static constexpr int StatusOk = 200;
static constexpr int StatusBadRequest = 400;
/// After a failed attempt, nobody is asked for as much for this long.
static constexpr Millis RetryInterval{200};

// Query parameters of a loan request.
static constexpr const char *WorkspaceField = "workspace";
/// Total amount requested.
static constexpr const char *AmountField = "tokens";
/// Part of the total amount that a waiting request needs now.
static constexpr const char *NeedField = "need";
/// Upper bound of the waiting request.
static constexpr const char *BoundField = "bound";
/// Amount used of earlier loans.
static constexpr const char *UsedField = "used";
/// Amount returned unused.
static constexpr const char *ReturnedField = "back";

/// @brief Parses an amount; zero if it is absent.
/// @return Nothing if the field holds no amount.
[[nodiscard]] static std::optional<Tokens>
tokensOf(const http::Request &Request, const char *Name) {
  const auto Text = Request.parameter(Name);
  return Text.empty() ? Tokens{} : parseTokens(Text);
}

/// @brief What a loan request states.
struct LoanRequest {
  Tokens Amount;
  Tokens Need;
  Tokens Bound;
  Tokens Used;
  Tokens Returned;
};

/// @return Nothing if a field holds no amount, or tokens that were lent exceed
/// what any budget has.
[[nodiscard]] static std::optional<LoanRequest>
decode(const http::Request &Request) {
  const auto Amount = tokensOf(Request, AmountField);
  const auto Need = tokensOf(Request, NeedField);
  const auto Bound = tokensOf(Request, BoundField);
  const auto Used = tokensOf(Request, UsedField);
  const auto Returned = tokensOf(Request, ReturnedField);
  if (!Amount || !Need || !Bound || !Used || !Returned || *Used > MaxTokens ||
      *Returned > MaxTokens) {
    return std::nullopt;
  }
  return LoanRequest{*Amount, *Need, *Bound, *Used, *Returned};
}

/// @brief Adds an amount to a query unless it is zero.
static void add(http::QueryBuilder &Query, const char *Name, Tokens Count) {
  if (Count > Tokens{}) {
    Query.add(Name, static_cast<std::uint64_t>(Count.count()));
  }
}

} // namespace internal

bool Loans::recentlyFailed(const WorkspaceId &Workspace, Tokens Missing,
                           Instant Now) const {
  const auto It = Shortages.find(Workspace);
  return It != Shortages.end() && Now < It->second.Deadline &&
         Missing >= It->second.Missing;
}

std::vector<std::string> Loans::candidates(const WorkspaceId &Workspace,
                                           Instant Now) {
  // A VM that reads the partition knows which VMs hold the most. Homes are
  // added because they can draw more tokens from the budget.
  auto Result = KnownLenders.rank(Partitions.shardOf(Workspace).Table,
                                  Partitions.name().Vm, Workspace, Now);
  for (const auto &Home : WorkspaceHomes.otherHomes(Workspace)) {
    const bool Listed =
        std::find(Result.begin(), Result.end(), Home) != Result.end();
    if (!Listed && !KnownLenders.unresponsive(Home, Now)) {
      Result.push_back(Home);
    }
  }
  Result.resize(std::min(Result.size(), internal::MaxLendersAsked));
  return Result;
}

LoanResult Loans::borrow(boost::asio::yield_context Yield,
                         const WorkspaceId &Workspace, Tokens Bound,
                         Instant Deadline) {
  auto &Holder = Partitions.shardOf(Workspace).Holder;
  if (recentlyFailed(Workspace, Bound - Holder.available(Workspace),
                     DecisionClock::now())) {
    return LoanResult::NotTried;
  }
  if (!BorrowsInProgress.insert(Workspace).second) {
    return LoanResult::Busy;
  }
  Tokens Given;
  bool Exhausted = false;
  for (const auto &Address : candidates(Workspace, DecisionClock::now())) {
    if (Exhausted || Holder.available(Workspace) >= Bound ||
        DecisionClock::now() >= Deadline) {
      break;
    }
    const auto Reply = ask(Yield, Address, Workspace, Bound);
    Given += Reply.Given;
    Exhausted = Reply.Exhausted;
  }
  BorrowsInProgress.erase(Workspace);
  if (Holder.available(Workspace) < Bound) {
    Shortages[Workspace] = {Bound - Holder.available(Workspace),
                            DecisionClock::now() + internal::RetryInterval};
    return Exhausted ? LoanResult::Exhausted : LoanResult::Nothing;
  }
  return Given > Tokens{} ? LoanResult::Given : LoanResult::Nothing;
}

std::optional<Loans::LoanReply> Loans::parseReply(const std::string &Body,
                                                  Tokens Asked) {
  std::istringstream In{Body};
  std::int64_t Given = 0;
  std::int64_t Available = 0;
  bool Exhausted = false;
  if (!(In >> Given >> Available >> Exhausted)) {
    return std::nullopt;
  }
  return LoanReply{
      std::clamp(Tokens{Given}, Tokens{}, Asked),
      std::clamp(Tokens{Available}, Tokens{} - MaxTokens, MaxTokens),
      Exhausted};
}

Loans::LoanReply Loans::ask(boost::asio::yield_context Yield,
                            const std::string &Address,
                            const WorkspaceId &Workspace, Tokens Bound) {
  auto &Part = Partitions.shardOf(Workspace);
  const auto Now = DecisionClock::now();
  const auto Used = Part.Holder.takeUnreportedUse(Workspace);
  http::Request Request;
  Request.Method = "POST";
  Request.Path = Path;
  const auto Amount = Part.Holder.amountToBorrow(Now, Workspace, Bound);
  http::QueryBuilder Query;
  Query.add(internal::WorkspaceField, Workspace.str());
  internal::add(Query, internal::AmountField, Amount);
  internal::add(Query, internal::NeedField,
                Bound - Part.Holder.available(Workspace));
  internal::add(Query, internal::BoundField, Bound);
  internal::add(Query, internal::UsedField, Used);
  Request.Query = Query.build();
  try {
    const auto Response = Connections.call(Yield, Address, Request);
    if (Response.Status != internal::StatusOk) {
      Part.Holder.restoreUnreportedUse(Workspace, Used);
      log(LogLevel::Debug, "loan.refused",
          {{"peer", Address}, {"status", std::int64_t{Response.Status}}});
      return {};
    }
    const auto Reply = parseReply(Response.Body, Amount);
    if (!Reply) {
      // As in a lost answer, what the lender gave is lost to both VMs.
      KnownLenders.markUnresponsive(Address, Now);
      log(LogLevel::Warn, "loan.unreadable",
          {{"peer", Address}, {"reply", Response.Body}});
      return {};
    }
    Part.Holder.acceptLoan(Workspace, Reply->Given);
    KnownLenders.recordReply(Part.Table, Address, Workspace, Reply->Available,
                             DecisionClock::now());
    Counters.count("tokens_borrowed_total",
                   static_cast<std::uint64_t>(Reply->Given.count()));
    return *Reply;
  } catch (const Error &Failure) {
    // Tokens that the lender gave are lost to both VMs: they count as spent
    // at the lender.
    KnownLenders.markUnresponsive(Address, Now);
    if (Failure.verdict() == Verdict::NotRun) {
      Part.Holder.restoreUnreportedUse(Workspace, Used);
    }
    log(LogLevel::Debug, "loan.failed",
        {{"peer", Address}, {"cause", std::string{Failure.what()}}});
  }
  return {};
}

bool Loans::refused(boost::asio::yield_context Yield,
                    const std::string &Address, const WorkspaceId &Workspace,
                    Tokens Returned, Tokens Used) {
  http::Request Request;
  Request.Method = "POST";
  Request.Path = Path;
  http::QueryBuilder Query;
  Query.add(internal::WorkspaceField, Workspace.str());
  internal::add(Query, internal::ReturnedField, Returned);
  internal::add(Query, internal::UsedField, Used);
  Request.Query = Query.build();
  try {
    return Connections.call(Yield, Address, Request).Status !=
           internal::StatusOk;
  } catch (const Error &Failure) {
    KnownLenders.markUnresponsive(Address, DecisionClock::now());
    // If the VM may have accepted the tokens, offering them to another one
    // could count them twice.
    return Failure.verdict() == Verdict::NotRun;
  }
}

void Loans::settleLoans(boost::asio::yield_context Yield) {
  for (std::size_t I = 0; I < Partitions.size(); ++I) {
    auto &Holder = Partitions.at(I).Holder;
    if (Holder.joined()) {
      continue; // This VM's own record reports what it used and holds.
    }
    for (const auto &Workspace : Holder.workspaces()) {
      const auto Returned = Holder.takeSurplus(DecisionClock::now(), Workspace);
      const auto Used = Holder.takeUnreportedUse(Workspace);
      if (Returned == Tokens{} && Used == Tokens{}) {
        continue;
      }
      bool Accepted = false;
      // Copied, because the homes may change while a call is waited for.
      const auto Homes = WorkspaceHomes.otherHomes(Workspace);
      for (auto It = Homes.begin(); !Accepted && It != Homes.end(); ++It) {
        Accepted = !KnownLenders.unresponsive(*It, DecisionClock::now()) &&
                   !refused(Yield, *It, Workspace, Returned, Used);
      }
      if (!Accepted) {
        Holder.acceptLoan(Workspace, Returned);
        Holder.restoreUnreportedUse(Workspace, Used);
      }
    }
  }
}

void Loans::handOver(boost::asio::yield_context Yield,
                     const std::vector<std::string> &Vms) {
  for (std::size_t I = 0; I < Partitions.size(); ++I) {
    auto &Holder = Partitions.at(I).Holder;
    for (const auto &Workspace : Holder.workspaces()) {
      const auto Given = Holder.lend(DecisionClock::now(), Workspace,
                                     Holder.available(Workspace));
      const auto Used = Holder.takeUnreportedUse(Workspace);
      if (Given == Tokens{} && Used == Tokens{}) {
        continue;
      }
      auto Receivers = WorkspaceHomes.otherHomes(Workspace);
      Receivers.insert(Receivers.end(), Vms.begin(), Vms.end());
      bool Accepted = false;
      for (auto It = Receivers.begin(); !Accepted && It != Receivers.end();
           ++It) {
        Accepted = !refused(Yield, *It, Workspace, Given, Used);
      }
      log(LogLevel::Info, "loan.gift",
          {{"workspace", Workspace.str()},
           {"tokens", Given.count()},
           {"taken", Accepted}});
    }
  }
}

void Loans::serve(http::Exchange &Exchange) {
  const auto &Request = Exchange.request();
  const WorkspaceId Workspace{Request.parameter(internal::WorkspaceField)};
  http::Response Response;
  Response.Fields["Content-Type"] = "text/plain";
  if (!Partitions.opened()) {
    Response.Status = 503;
    Exchange.reply(Response);
    return;
  }
  const auto Stated = internal::decode(Request);
  if (!Stated) {
    log(LogLevel::Warn, "loan.impossible", {{"query", Request.Query}});
    Response.Status = internal::StatusBadRequest;
    Response.Body = "amounts must be whole numbers that a budget can have\n";
    Exchange.reply(Response);
    return;
  }
  auto &[Table, Holder] = Partitions.shardOf(Workspace);
  const auto Now = DecisionClock::now();
  Holder.confirmUse(Workspace, Stated->Used);
  if (Stated->Returned > Tokens{}) {
    Holder.acceptReturn(Now, Workspace, Stated->Returned);
    Gate.notifyWaiters();
  }
  const auto Budget = Budgets ? Budgets(Workspace) : std::nullopt;
  // A loan can't serve a request that exceeds the budget.
  const bool Fits = !Budget || Stated->Bound <= *Budget;
  if (Budget && Fits && Stated->Need > Tokens{}) {
    Gate.drawForBorrower(Exchange.yield(), Workspace, *Budget, Stated->Need);
  }
  const Tokens Given = Fits
                           ? Holder.lend(DecisionClock::now(), Workspace,
                                         std::max(Stated->Need, Stated->Amount))
                           : Tokens{};
  const bool Exhausted =
      Budget && Holder.joined() && Given < Stated->Need &&
      Holder.exhausted(Table, Workspace, *Budget, Stated->Bound);
  Counters.count("tokens_lent_total",
                 static_cast<std::uint64_t>(Given.count()));
  Response.Body = std::to_string(Given.count()) + " " +
                  std::to_string(Holder.available(Workspace).count()) + " " +
                  std::to_string(Exhausted ? 1 : 0);
  Exchange.reply(Response);
}

} // namespace goldcrestnotch::escrow

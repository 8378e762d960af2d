/// @file
/// Questions and answers about the currency of views.

#include "goldcrestnotch/notices/view_exchange.hpp"

#include <utility>

#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::notices {

namespace internal {

/// A healthy VM reads the operator's partition by long polls of a second, so
/// its proof is up to that old, and the time of a call more.
static constexpr Millis MinOperatorAskAge{1'300};
/// Fraction of the permitted age of a view at which other VMs are asked.
static constexpr double AskFraction = 0.4;
/// Fraction of the permitted age of a view at which datagrams seem to get lost.
static constexpr double UnprovenFraction = 0.6;
/// Fraction of the permitted age of a view at which its age is logged.
static constexpr double LoggedFraction = 0.75;
/// Interval between two log lines about old views.
static constexpr Millis OldLogInterval{1'000};
/// Answers to older questions are ignored.
static constexpr Millis AnswerTimeout{5'000};
static constexpr double MaxNonce = 1e15;

[[nodiscard]] static Millis fractionOf(Millis MaxAge, double Fraction) {
  return std::chrono::duration_cast<Millis>(MaxAge * Fraction);
}

/// @brief Adds the hashes of names as far as they fit into a message.
/// @return Whether all of them did.
[[nodiscard]] static bool addHashes(const std::vector<TargetId> &Names,
                                    std::size_t Limit,
                                    std::vector<std::uint64_t> &Hashes) {
  for (const auto &Name : Names) {
    if (Hashes.size() >= Limit) {
      return false;
    }
    Hashes.push_back(hashOf(Name.str()));
  }
  return true;
}

} // namespace internal

ViewExchange::ViewExchange(NoticeSocket &Socket, backend::TargetSet &Targets,
                           ViewSources Sources, Millis OperatorMaxAge,
                           Millis TargetsMaxAge)
    : Socket{Socket}, Targets{Targets}, Sources{std::move(Sources)},
      Operator{OperatorMaxAge}, TargetList{TargetsMaxAge},
      OperatorAskAge{
          std::max(internal::fractionOf(OperatorMaxAge, internal::AskFraction),
                   internal::MinOperatorAskAge)},
      TargetsAskAge{
          internal::fractionOf(TargetsMaxAge, internal::AskFraction)} {}

void ViewExchange::refresh() {
  const auto OwnOperator = Sources.Operator();
  Operator.observeOwn(OwnOperator.ProvenAt, OwnOperator.End);
  const auto OwnTargets = Sources.Targets();
  TargetList.observeOwn(OwnTargets.ProvenAt, OwnTargets.End);
}

bool ViewExchange::outdated(Instant Now) {
  refresh();
  const bool Result = Operator.outdated(Now) || TargetList.outdated(Now);
  if (Result != std::exchange(WasOutdated, Result)) {
    log(LogLevel::Warn, Result ? "view.outdated" : "view.current",
        {{"operator_age_ms", Operator.age(Now).count()},
         {"operator_behind", Operator.behind()},
         {"targets_age_ms", TargetList.age(Now).count()},
         {"targets_behind", TargetList.behind()}});
  }
  return Result;
}

bool ViewExchange::operatorBehind() {
  refresh();
  return Operator.behind();
}

Millis ViewExchange::targetsAge(Instant Now) {
  refresh();
  return TargetList.age(Now);
}

void ViewExchange::logOld(Instant Now) {
  const bool Old =
      Operator.age(Now) >
          internal::fractionOf(Operator.maxAge(), internal::LoggedFraction) ||
      TargetList.age(Now) >
          internal::fractionOf(TargetList.maxAge(), internal::LoggedFraction);
  const bool Starting = !Operator.proven() || !TargetList.proven();
  if (!Old || Starting || Now < NextOldLog) {
    return;
  }
  NextOldLog = Now + internal::OldLogInterval;
  log(LogLevel::Info, "view.old",
      {{"operator_age_ms", Operator.age(Now).count()},
       {"targets_age_ms", TargetList.age(Now).count()},
       {"peers", static_cast<std::int64_t>(Socket.peerCount())},
       {"questions_open", static_cast<std::int64_t>(Asked.size())},
       {"answers", static_cast<std::int64_t>(AnswerCount)}});
}

bool ViewExchange::usable(Instant Now, View Wanted) {
  refresh();
  return Now < freshness(Wanted).usableUntil();
}

bool ViewExchange::confirm(Instant Now, View Wanted) {
  auto &Confirmed = freshness(Wanted);
  Confirmed.confirm(Now);
  return !Confirmed.behind();
}

bool ViewExchange::unproven(Instant Now) {
  refresh();
  const auto Old = [&](const store::ViewFreshness &Copy) {
    return Copy.proven() &&
           Copy.usableUntil() - Now <
               Copy.maxAge() - internal::fractionOf(Copy.maxAge(),
                                                    internal::UnprovenFraction);
  };
  return Old(Operator) || Old(TargetList);
}

void ViewExchange::maintain(Instant Now, const RandomSource &Draw) {
  refresh();
  std::erase_if(Asked, [&](const auto &Entry) {
    return Now - Entry.second.Sent > internal::AnswerTimeout;
  });
  if (Operator.age(Now) <= OperatorAskAge &&
      TargetList.age(Now) <= TargetsAskAge) {
    return;
  }
  logOld(Now);
  ask(Now, PeersPerRound, Draw);
}

ViewRequest ViewExchange::open(const Question &Opened,
                               const RandomSource &Draw) {
  const auto Nonce = static_cast<std::uint64_t>(Draw() * internal::MaxNonce);
  Asked[Nonce] = Opened;
  return {Nonce, Sources.Operator().End, Sources.Targets().End};
}

void ViewExchange::ask(Instant Now, std::size_t PeerCount,
                       const RandomSource &Draw) {
  const auto Count = std::min(PeerCount, Socket.peerCount());
  if (Count > 0) {
    Socket.sendToSome(open({Now, Count, true}, Draw), Count, Draw);
  }
}

ViewRequest ViewExchange::question(Instant Now, const RandomSource &Draw) {
  return open({Now, 1, false}, Draw);
}

ViewResponse ViewExchange::answer(Instant Now, const ViewRequest &Request) {
  refresh();
  ViewResponse Response;
  Response.Nonce = Request.Nonce;
  Response.Operator = {Sources.Operator().End, Operator.age(Now)};
  Response.Targets = {Sources.Targets().End, TargetList.age(Now)};
  // The age of this VM's proof holds for what it has itself.
  const auto Departed = Sources.DepartedSince(Request.TargetsEnd);
  Response.Complete =
      internal::addHashes(Departed.Leaving, MaxTargets, Response.Leaving) &&
      internal::addHashes(Departed.Deleted,
                          MaxTargets - Response.Leaving.size(),
                          Response.Deleted);
  return Response;
}

void ViewExchange::handle(Instant Now, const ViewRequest &Request,
                          const NoticeSocket::Endpoint &From) {
  Socket.send(answer(Now, Request), From);
}

void ViewExchange::handle(Instant Now, const ViewResponse &Response) {
  const auto Found = Asked.find(Response.Nonce);
  if (Found == Asked.end() || Found->second.Unanswered == 0) {
    return; // Late, repeated, or not meant for this process.
  }
  refresh();
  ++AnswerCount;
  --Found->second.Unanswered;
  const auto Sent = Found->second.Sent;
  Operator.observeOther(Sent - Response.Operator.ProofAge,
                        Response.Operator.End);
  for (const auto Hash : Response.Leaving) {
    const auto Target = Targets.find(Hash);
    if (Target &&
        Targets.markLeaving(Now, Hash, Target->Registered.Incarnation)) {
      log(LogLevel::Info, "target.told_leaving",
          {{"target", Target->Registered.Name.str()},
           {"source", "view"},
           {"own_age_ms", TargetList.age(Now).count()}});
    }
  }
  for (const auto Hash : Response.Deleted) {
    if (const auto Target = Targets.find(Hash)) {
      Sources.OnDeleted(Target->Registered.Name);
    }
  }
  // A complete list of the targets that left is as good as the records.
  TargetList.observeOther(Sent - Response.Targets.ProofAge,
                          Response.Complete ? store::Position{}
                                            : Response.Targets.End);
  if (Found->second.OfFleet && Found->second.Unanswered == 0) {
    Operator.confirm(Sent);
    TargetList.confirm(Sent);
  }
}

} // namespace goldcrestnotch::notices

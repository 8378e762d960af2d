/// @file
/// Bookkeeping and selection of targets.

#include "goldcrestnotch/backend/target_set.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "goldcrestnotch/core/hash.hpp"

namespace goldcrestnotch::backend {

namespace internal {

/// The target with the affinity is skipped once it has more requests in
/// progress than this multiple of the mean plus a constant, so that a popular
/// prefix spills over to other targets instead of queueing.
static constexpr double AffinityRatio = 1.5;
static constexpr double AffinitySlack = 2;

// Costs are in milliseconds of waiting.

/// Cost of each request in progress.
static constexpr double RequestCost = 5;
/// Cost of a target that is paused after failures.
static constexpr double PausedCost = 1e6;
/// Cost of a target that recently refused a request for lack of capacity.
static constexpr double FullCost = 1e5;
/// Cost of a target with a rate limit for which a permit was refused. It is
/// below that of a full target, since a permit may come after a short wait.
static constexpr double NoPermitCost = 5e4;
/// Cost of a target whose registration is missing.
static constexpr double MissingCost = 1e4;
/// Cost of the network hop to another failure domain; only breaks ties.
static constexpr double OtherDomainCost = 1;
/// Cost of a target that is reserved for prompts of another length.
static constexpr double ReservedCost = 250;

/// A target that leaves has ended after this time.
static constexpr Millis LeavingMemory{600'000};

/// Shorter prompts say little about the prefill speed of an engine.
static constexpr std::int64_t MinSampleTokens = 4'000;
/// Weight of one sample in the moving average of the prefill speed.
static constexpr double SampleWeight = 0.05;
/// A sample counts as at most this many times as fast as the average, or as
/// slow: callers state the length of their prompts.
static constexpr double MaxSpeedRatio = 8;
/// Longest time that a target is taken to read the prompts sent to it.
static constexpr Millis MaxPrefill{60'000};

} // namespace internal

std::shared_ptr<Target> TargetSet::find(const TargetId &Name) const {
  const auto It = Targets.find(Name);
  return It == Targets.end() ? nullptr : It->second;
}

std::shared_ptr<Target> TargetSet::find(std::uint64_t NameHash) const {
  const auto It = NamesByHash.find(NameHash);
  return It == NamesByHash.end() ? nullptr : find(It->second);
}

std::vector<std::shared_ptr<Target>> TargetSet::limitedTargets() const {
  std::vector<std::shared_ptr<Target>> Result;
  for (const auto &[Name, Candidate] : Targets) {
    if (Candidate->RateLimit) {
      Result.push_back(Candidate);
    }
  }
  return Result;
}

std::optional<Instant> TargetSet::firstReturn(Instant Now,
                                              const ServiceId &Service) const {
  std::optional<Instant> Result;
  const auto List = TargetsByService.find(Service);
  if (List == TargetsByService.end()) {
    return Result;
  }
  for (const auto &Candidate : List->second) {
    if (!Candidate->leaving() && Now < Candidate->NoRequestsUntil) {
      Result =
          std::min(Result.value_or(Instant::max()), Candidate->NoRequestsUntil);
    }
  }
  return Result;
}

bool TargetSet::eligible(Instant Now, const Target &Candidate,
                         const TargetRequest &Request) {
  return Candidate.accepts(Now) &&
         Request.Version.allows(Candidate.Registered.Version) &&
         std::find(Request.Excluded.begin(), Request.Excluded.end(),
                   Candidate.Registered.Name) == Request.Excluded.end();
}

bool TargetSet::reservedForOthers(const Target &Candidate,
                                  const TargetRequest &Request) const {
  const auto Kind = Request.PromptTokens >= Prefill.LongPromptTokens
                        ? PromptKind::Long
                        : PromptKind::Short;
  return Request.PromptTokens > 0 && Candidate.ReservedFor != PromptKind::Any &&
         Candidate.ReservedFor != Kind;
}

double TargetSet::cost(Instant Now, const Target &Candidate,
                       const TargetRequest &Request) const {
  double Result =
      static_cast<double>(Candidate.InProgress) * internal::RequestCost;
  Result += static_cast<double>(
      std::max(Candidate.PrefillEnd - Now, Millis{0}).count());
  Result += Now < Candidate.PausedUntil ? internal::PausedCost : 0;
  Result += Now < Candidate.FullUntil ? internal::FullCost : 0;
  Result += Candidate.RateLimit && Now < Candidate.PermitRetry
                ? internal::NoPermitCost
                : 0;
  Result += Candidate.missing() ? internal::MissingCost : 0;
  Result +=
      Candidate.Registered.Domain == OwnDomain ? 0 : internal::OtherDomainCost;
  Result += reservedForOthers(Candidate, Request) ? internal::ReservedCost : 0;
  return Result;
}

TargetSet::TargetList TargetSet::shareOf(Instant Now, const TargetList &List,
                                         const TargetRequest &Request) const {
  TargetList Result;
  std::copy_if(List.begin(), List.end(), std::back_inserter(Result),
               [&](const std::shared_ptr<Target> &Candidate) {
                 return eligible(Now, *Candidate, Request);
               });
  const auto Count = static_cast<std::size_t>(std::ceil(
      static_cast<double>(Result.size()) * Request.Version.TargetShare));
  // Targets that are paused, full or missing are replaced by others.
  const auto Rank = [&](const std::shared_ptr<Target> &Candidate) {
    return std::pair{cost(Now, *Candidate, Request) >= internal::MissingCost,
                     hashOf(Candidate->Registered.Name.str())};
  };
  std::sort(Result.begin(), Result.end(),
            [&](const auto &A, const auto &B) { return Rank(A) < Rank(B); });
  Result.resize(std::min(Count, Result.size()));
  return Result;
}

std::shared_ptr<Target> TargetSet::pick(Instant Now,
                                        const TargetRequest &Request) const {
  const auto List = TargetsByService.find(Request.Service);
  if (List == TargetsByService.end()) {
    return nullptr;
  }
  std::shared_ptr<Target> Best;
  double BestCost = 0;
  std::shared_ptr<Target> Affine;
  std::uint64_t AffineScore = 0;
  double InProgressSum = 0;
  double Count = 0;
  const bool OnTrial = Request.Version.TargetShare < 1;
  const auto Share =
      OnTrial ? shareOf(Now, List->second, Request) : TargetList{};
  for (const auto &Candidate : OnTrial ? Share : List->second) {
    if (!eligible(Now, *Candidate, Request)) {
      continue;
    }
    const double Cost = cost(Now, *Candidate, Request);
    InProgressSum += static_cast<double>(Candidate->InProgress);
    Count += 1;
    if (!Best || Cost < BestCost) {
      Best = Candidate;
      BestCost = Cost;
    }
    if (Request.AffinityKey.empty() || Cost >= internal::MissingCost ||
        reservedForOthers(*Candidate, Request)) {
      continue;
    }
    const auto Score =
        rendezvous(Request.AffinityKey, Candidate->Registered.Name.str());
    if (!Affine || Score > AffineScore) {
      Affine = Candidate;
      AffineScore = Score;
    }
  }
  if (!Affine) {
    return Best;
  }
  const double AffinityBenefit =
      Prefill.AffinityFactor * static_cast<double>(Request.SharedPrefixTokens) /
      Prefill.TokensPerMs;
  const bool Crowded =
      static_cast<double>(Affine->InProgress) >
      internal::AffinityRatio * InProgressSum / Count + internal::AffinitySlack;
  return cost(Now, *Affine, Request) <= BestCost + AffinityBenefit && !Crowded
             ? Affine
             : Best;
}

std::shared_ptr<Target>
TargetSet::predecessor(const Registration &Update) const {
  const auto LastName = NamesByEndpoint.find(Update.Endpoint);
  if (LastName == NamesByEndpoint.end() || LastName->second == Update.Name) {
    return nullptr;
  }
  const auto Last = find(LastName->second);
  return Last && Last->Registered.Endpoint == Update.Endpoint ? Last : nullptr;
}

void TargetSet::removePredecessor(const Registration &Update) {
  if (const auto Last = predecessor(Update)) {
    if (Last->Registered.Incarnation > Update.Incarnation) {
      return; // The update is a late record of a target that has ended.
    }
    const auto LastName = Last->Registered.Name;
    std::erase(TargetsByService[Last->Registered.Service], Last);
    NamesByHash.erase(hashOf(LastName.str()));
    Targets.erase(LastName);
  }
  NamesByEndpoint[Update.Endpoint] = Update.Name;
}

bool TargetSet::outdated(const Registration &Update) const {
  if (Update.Incarnation == 0) {
    return false; // Restarts of the target can't be told apart.
  }
  if (const auto Known = find(Update.Name)) {
    return Known->Registered.Incarnation == Update.Incarnation &&
           Update.Sequence < Known->Registered.Sequence;
  }
  const auto Removed = RemovedRuns.find(Update.Name);
  return Removed != RemovedRuns.end() &&
         Removed->second.Incarnation == Update.Incarnation &&
         Update.Sequence <= Removed->second.Sequence;
}

void TargetSet::apply(Registration Update) {
  if (outdated(Update)) {
    return;
  }
  removePredecessor(Update);
  auto &Entry = Targets[Update.Name];
  const bool Replaced =
      Entry && (Entry->Registered.Service != Update.Service ||
                Entry->Registered.Endpoint != Update.Endpoint ||
                Entry->Registered.Incarnation != Update.Incarnation);
  if (Entry && !Replaced) {
    Entry->Registered = std::move(Update);
    Entry->RemovalDeadline = Instant::max();
    return;
  }
  if (Entry) {
    auto &OldList = TargetsByService[Entry->Registered.Service];
    std::erase(OldList, Entry);
    assignPromptKinds(OldList);
  }
  Entry = std::make_shared<Target>();
  NamesByHash[hashOf(Update.Name.str())] = Update.Name;
  Entry->Registered = std::move(Update);
  Entry->ToldLeaving = LeavingRuns.contains(
      {hashOf(Entry->Registered.Name.str()), Entry->Registered.Incarnation});
  auto &List = TargetsByService[Entry->Registered.Service];
  List.push_back(Entry);
  assignPromptKinds(List);
}

void TargetSet::assignPromptKinds(const TargetList &List) const {
  std::vector<std::pair<std::uint64_t, Target *>> ByHash;
  ByHash.reserve(List.size());
  for (const auto &Member : List) {
    ByHash.emplace_back(hashOf(Member->Registered.Name.str()), Member.get());
  }
  std::sort(ByHash.begin(), ByHash.end());
  const auto LongCount = static_cast<std::size_t>(
      static_cast<double>(ByHash.size()) * Prefill.LongPromptTargetShare);
  for (std::size_t I = 0; I < ByHash.size(); ++I) {
    ByHash[I].second->ReservedFor = LongCount == 0  ? PromptKind::Any
                                    : I < LongCount ? PromptKind::Long
                                                    : PromptKind::Short;
  }
}

void TargetSet::markMissing(Instant Now, const TargetId &Name, bool Outage) {
  const auto It = Targets.find(Name);
  if (It == Targets.end() || It->second->missing()) {
    return;
  }
  It->second->RemovalDeadline =
      Now + (Outage ? Timeouts.DuringOutage : Timeouts.Normal);
}

bool TargetSet::markLeaving(Instant Now, std::uint64_t NameHash,
                            std::uint64_t Incarnation) {
  LeavingRuns[{NameHash, Incarnation}] = Now + internal::LeavingMemory;
  const auto Known = find(NameHash);
  return Known && Known->Registered.Incarnation == Incarnation &&
         !std::exchange(Known->ToldLeaving, true);
}

void TargetSet::pause(std::uint64_t NameHash, std::uint64_t Incarnation,
                      Instant Until) {
  const auto Known = find(NameHash);
  if (Known && Known->Registered.Incarnation == Incarnation) {
    Known->NoRequestsUntil = std::max(Known->NoRequestsUntil, Until);
  }
}

void TargetSet::observePrompt(Instant Now, const TargetId &Name,
                              std::int64_t PromptTokens) {
  const auto Receiver = find(Name);
  if (!Receiver) {
    return;
  }
  const double Tokens = static_cast<double>(PromptTokens);
  const double Work = Tokens * (1.0 + Tokens / Prefill.DoublingTokens);
  const Millis Duration{static_cast<std::int64_t>(
      std::min(Work / Prefill.TokensPerMs,
               static_cast<double>(internal::MaxPrefill.count())))};
  Receiver->PrefillEnd =
      std::min(std::max(Receiver->PrefillEnd, Now) + Duration,
               Now + internal::MaxPrefill);
}

void TargetSet::observePrompt(Instant Now, std::uint64_t NameHash,
                              std::int64_t PromptTokens) {
  if (const auto It = NamesByHash.find(NameHash); It != NamesByHash.end()) {
    observePrompt(Now, It->second, PromptTokens);
  }
}

std::vector<std::shared_ptr<Target>>
TargetSet::sample(Instant Now, std::size_t Count, const TargetId &Excluded,
                  const std::function<double()> &Draw) const {
  TargetList Result;
  for (const auto &[Name, Candidate] : Targets) {
    if (Name != Excluded && Candidate->accepts(Now) && !Candidate->missing()) {
      Result.push_back(Candidate);
    }
  }
  Count = std::min(Count, Result.size());
  // The first `Count` positions of a random permutation.
  for (std::size_t I = 0; I < Count; ++I) {
    const auto Remaining = static_cast<double>(Result.size() - I);
    std::swap(Result[I],
              Result[I + static_cast<std::size_t>(Draw() * Remaining)]);
  }
  Result.resize(Count);
  return Result;
}

void TargetSet::forgiveFailures() {
  for (const auto &[Name, Member] : Targets) {
    Member->ConsecutiveFailures = 0;
    Member->PausedUntil = Instant{};
  }
}

void TargetSet::observePrefillTime(std::int64_t PromptTokens, Millis Duration) {
  if (PromptTokens < internal::MinSampleTokens || Duration <= Millis{0}) {
    return;
  }
  const double Speed = std::clamp(
      static_cast<double>(PromptTokens) / static_cast<double>(Duration.count()),
      Prefill.TokensPerMs / internal::MaxSpeedRatio,
      Prefill.TokensPerMs * internal::MaxSpeedRatio);
  Prefill.TokensPerMs += internal::SampleWeight * (Speed - Prefill.TokensPerMs);
}

void TargetSet::expire(Instant Now) {
  std::erase_if(LeavingRuns,
                [&](const auto &Entry) { return Now >= Entry.second; });
  std::erase_if(RemovedRuns, [&](const auto &Entry) {
    return Now >= Entry.second.MemoryDeadline;
  });
  std::erase_if(Targets, [&](const auto &Entry) {
    if (Now < Entry.second->RemovalDeadline) {
      return false;
    }
    const auto &Registered = Entry.second->Registered;
    RemovedRuns[Entry.first] = {Registered.Incarnation, Registered.Sequence,
                                Now + internal::LeavingMemory};
    auto &List = TargetsByService[Registered.Service];
    std::erase(List, Entry.second);
    assignPromptKinds(List);
    NamesByHash.erase(hashOf(Entry.first.str()));
    return true;
  });
}

} // namespace goldcrestnotch::backend

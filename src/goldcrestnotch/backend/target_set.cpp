/// @file
/// Keeping and choosing targets.

#include "goldcrestnotch/backend/target_set.hpp"

#include <algorithm>
#include <utility>

#include "goldcrestnotch/core/hash.hpp"

namespace goldcrestnotch::backend {

namespace internal {

/// The affine target may hold this many times the mean in progress, so that a
/// popular prefix spills over instead of queueing.
static constexpr double AffinityRatio = 1.5;
static constexpr double AffinitySlack = 2;
/// Each request in progress counts as this many milliseconds of waiting.
static constexpr double RequestCost = 5;
/// The same for a paused target.
static constexpr double PausedCost = 1e6;
/// The same for one that just refused for want of room.
static constexpr double FullCost = 1e5;
/// The same for one whose registration is missing.
static constexpr double MissingCost = 1e4;
/// A target in another failure domain costs a hop; breaks ties only.
static constexpr double FarCost = 1;

/// A target on the other side of the line between long and short prompts costs
/// as much as so many milliseconds of waiting.
static constexpr double ApartCost = 250;

/// Shorter prompts say little of how fast an engine reads.
static constexpr std::int64_t LeastLearnt = 4'000;
/// Weight of one observation.
static constexpr double LearnPart = 0.05;

} // namespace internal

std::shared_ptr<Target> TargetSet::find(const TargetId &Name) const {
  const auto It = Targets.find(Name);
  return It == Targets.end() ? nullptr : It->second;
}

bool TargetSet::usable(const Target &One, const TargetRequest &Wanted) {
  return !One.Registered.Leaving &&
         Wanted.Version.allows(One.Registered.Version) &&
         std::find(Wanted.Excluded.begin(), Wanted.Excluded.end(),
                   One.Registered.Name) == Wanted.Excluded.end();
}

bool TargetSet::apart(const Target &One, const TargetRequest &Wanted) const {
  const auto Kind = Wanted.PromptTokens >= Prefill.LongPromptTokens
                        ? PromptKind::Long
                        : PromptKind::Short;
  return Wanted.PromptTokens > 0 && One.ReservedFor != PromptKind::Any &&
         One.ReservedFor != Kind;
}

double TargetSet::cost(Instant Now, const Target &One,
                       const TargetRequest &Wanted) const {
  double Result = static_cast<double>(One.InProgress) * internal::RequestCost;
  Result +=
      static_cast<double>(std::max(One.PrefillEnd - Now, Millis{0}).count());
  Result += Now < One.PausedUntil ? internal::PausedCost : 0;
  Result += Now < One.FullUntil ? internal::FullCost : 0;
  Result += One.missing() ? internal::MissingCost : 0;
  Result += One.Registered.Domain == Own ? 0 : internal::FarCost;
  Result += apart(One, Wanted) ? internal::ApartCost : 0;
  return Result;
}

std::shared_ptr<Target> TargetSet::pick(Instant Now,
                                        const TargetRequest &Wanted) const {
  const auto At = Rows.find(Wanted.Service);
  if (At == Rows.end()) {
    return nullptr;
  }
  std::shared_ptr<Target> Best;
  double BestCost = 0;
  std::shared_ptr<Target> Affine;
  std::uint64_t AffineScore = 0;
  double Sum = 0;
  double Count = 0;
  for (const auto &One : At->second) {
    if (!usable(*One, Wanted)) {
      continue;
    }
    const double Cost = cost(Now, *One, Wanted);
    Sum += static_cast<double>(One->InProgress);
    Count += 1;
    if (!Best || Cost < BestCost) {
      Best = One;
      BestCost = Cost;
    }
    if (Wanted.AffinityKey.empty() || Cost >= internal::MissingCost ||
        apart(*One, Wanted)) {
      continue;
    }
    const auto Score =
        rendezvous(Wanted.AffinityKey, One->Registered.Name.str());
    if (!Affine || Score > AffineScore) {
      Affine = One;
      AffineScore = Score;
    }
  }
  if (!Affine) {
    return Best;
  }
  const double Worth = Prefill.AffinityFactor *
                       static_cast<double>(Wanted.SharedPrefixTokens) /
                       Prefill.TokensPerMs;
  const bool Crowded =
      static_cast<double>(Affine->InProgress) >
      internal::AffinityRatio * Sum / Count + internal::AffinitySlack;
  return cost(Now, *Affine, Wanted) <= BestCost + Worth && !Crowded ? Affine
                                                                    : Best;
}

void TargetSet::dropPredecessor(const Registration &Told) {
  auto &Last = Places[Told.Endpoint];
  const auto Before = find(Last);
  if (Before && Last != Told.Name &&
      Before->Registered.Endpoint == Told.Endpoint) {
    if (Before->Registered.Incarnation > Told.Incarnation) {
      return; // The record of the one that has ended came late.
    }
    std::erase(Rows[Before->Registered.Service], Before);
    Hashes.erase(hashOf(Last.str()));
    Targets.erase(Last);
  }
  Last = Told.Name;
}

void TargetSet::apply(Registration Told) {
  dropPredecessor(Told);
  auto &At = Targets[Told.Name];
  const bool Moved = At && (At->Registered.Service != Told.Service ||
                            At->Registered.Endpoint != Told.Endpoint ||
                            At->Registered.Incarnation != Told.Incarnation);
  if (At && !Moved) {
    At->Registered = std::move(Told);
    At->RemovalDeadline = Instant::max();
    return;
  }
  if (At) {
    auto &Before = Rows[At->Registered.Service];
    std::erase(Before, At);
    divide(Before);
  }
  At = std::make_shared<Target>();
  Hashes[hashOf(Told.Name.str())] = Told.Name;
  At->Registered = std::move(Told);
  auto &Served = Rows[At->Registered.Service];
  Served.push_back(At);
  divide(Served);
}

void TargetSet::divide(const Row &Served) const {
  std::vector<std::pair<std::uint64_t, Target *>> Order;
  Order.reserve(Served.size());
  for (const auto &One : Served) {
    Order.emplace_back(hashOf(One->Registered.Name.str()), One.get());
  }
  std::sort(Order.begin(), Order.end());
  const auto Long = static_cast<std::size_t>(static_cast<double>(Order.size()) *
                                             Prefill.LongPromptTargetShare);
  for (std::size_t I = 0; I < Order.size(); ++I) {
    Order[I].second->ReservedFor = Long == 0  ? PromptKind::Any
                                   : I < Long ? PromptKind::Long
                                              : PromptKind::Short;
  }
}

void TargetSet::markMissing(Instant Now, const TargetId &Name, bool Outage) {
  const auto It = Targets.find(Name);
  if (It == Targets.end() || It->second->missing()) {
    return;
  }
  It->second->RemovalDeadline =
      Now + (Outage ? Times.DuringOutage : Times.Normal);
}

void TargetSet::observePrompt(Instant Now, const TargetId &Name,
                              std::int64_t Size) {
  const auto At = find(Name);
  if (!At) {
    return;
  }
  const double Tokens = static_cast<double>(Size);
  const double Work = Tokens * (1.0 + Tokens / Prefill.DoublingTokens);
  At->PrefillEnd =
      std::max(At->PrefillEnd, Now) +
      Millis{static_cast<std::int64_t>(Work / Prefill.TokensPerMs)};
}

void TargetSet::observePrompt(Instant Now, std::uint64_t NameHash,
                              std::int64_t Size) {
  if (const auto It = Hashes.find(NameHash); It != Hashes.end()) {
    observePrompt(Now, It->second, Size);
  }
}

void TargetSet::observePrefillTime(std::int64_t Size, Millis Took) {
  if (Size < internal::LeastLearnt || Took <= Millis{0}) {
    return;
  }
  const double Speed =
      static_cast<double>(Size) / static_cast<double>(Took.count());
  Prefill.TokensPerMs += internal::LearnPart * (Speed - Prefill.TokensPerMs);
}

void TargetSet::expire(Instant Now) {
  std::erase_if(Targets, [&](const auto &Entry) {
    if (Now < Entry.second->RemovalDeadline) {
      return false;
    }
    auto &Served = Rows[Entry.second->Registered.Service];
    std::erase(Served, Entry.second);
    divide(Served);
    Hashes.erase(hashOf(Entry.first.str()));
    return true;
  });
}

} // namespace goldcrestnotch::backend

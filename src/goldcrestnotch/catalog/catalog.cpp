/// @file
/// Implementation of the catalog: conflict checks of plans, application of
/// their changes, and serialization of the state.

#include "goldcrestnotch/catalog/catalog.hpp"

#include <algorithm>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "goldcrestnotch/config/limits.hpp"

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

/// @brief Whether a change gives the same result in any order. Top-ups do, so
/// they cannot conflict with other changes of their subject.
[[nodiscard]] static bool commutes(const Change &Candidate) {
  return std::holds_alternative<BudgetTopUp>(Candidate);
}

} // namespace internal

void Catalog::skip(std::uint64_t Offset) noexcept {
  NextOffset = std::max(NextOffset, Offset + 1);
}

void Catalog::apply(std::uint64_t Offset, LogTime When,
                    const ConfigRecord &Record) {
  if (Offset < NextOffset) {
    return;
  }
  NextOffset = Offset + 1;
  expirePlans(When);
  std::visit([&](const auto &Body) { applyRecord(When, Body); }, Record);
}

void Catalog::applyRecord(LogTime When, const Plan &Stated) {
  Plans.try_emplace(Stated.Name,
                    PlanEntry{Stated, PlanState::Stated, When, 0, {}});
}

void Catalog::applyRecord(LogTime When, const Confirmation &Confirmed) {
  const auto It = Plans.find(Confirmed.Name);
  if (It == Plans.end() || It->second.State != PlanState::Stated) {
    return;
  }
  auto &Entry = It->second;
  Entry.Since = When;
  Entry.Conflicts = conflicts(Entry.Stated);
  if (!Entry.Conflicts.empty()) {
    Entry.State = PlanState::Conflicted;
    return;
  }
  Entry.State = PlanState::Accepted;
  Version = NextOffset;
  Entry.Version = Version;
  for (const auto &Change : Entry.Stated.Changes) {
    applyChange(When, Change);
    ChangeVersions[subjectOf(Change)] = Version;
  }
}

void Catalog::applyRecord(LogTime, const MoveEnded &Ended) {
  const auto It = Moves.find(Ended.Name);
  if (It == Moves.end() || It->second.Ended) {
    return;
  }
  It->second.Ended = true;
  const auto MovedRoute = Routes.find(It->second.Order.On);
  const bool IsCurrent = MovedRoute != Routes.end() &&
                         MovedRoute->second.Version == It->second.Order.From;
  if (Ended.Done && IsCurrent) {
    MovedRoute->second.Version = It->second.Order.To;
    Version = NextOffset;
    ChangeVersions["route:" + MovedRoute->first.str()] = Version;
  }
}

std::vector<std::string> Catalog::conflicts(const Plan &Stated) const {
  std::vector<std::string> Result;
  for (const auto &Change : Stated.Changes) {
    const auto Subject = subjectOf(Change);
    const auto It = ChangeVersions.find(Subject);
    if (!internal::commutes(Change) && It != ChangeVersions.end() &&
        It->second > Stated.Base) {
      Result.push_back(Subject + " was changed at version " +
                       std::to_string(It->second) + ", after base " +
                       std::to_string(Stated.Base));
    }
    if (const auto *NewWorkspace = std::get_if<Workspace>(&Change)) {
      const auto *KeyOwner = findByKeyDigest(NewWorkspace->KeyDigest);
      if (KeyOwner != nullptr && KeyOwner->Name != NewWorkspace->Name) {
        Result.push_back("the key of " + Subject + " is in use");
      }
    }
    if (const auto *NewMove = std::get_if<Move>(&Change)) {
      const auto Route = Routes.find(NewMove->On);
      if (Route == Routes.end() || Route->second.Version != NewMove->From) {
        Result.push_back("route " + NewMove->On.str() + " is not at version " +
                         NewMove->From.str());
      }
      if (Moves.contains(NewMove->Name)) {
        Result.push_back("there was a move " + NewMove->Name.str() + " before");
      }
      for (const auto &[Name, Entry] : Moves) {
        if (Entry.Order.On == NewMove->On && !Entry.Ended) {
          Result.push_back("move " + Name.str() + " of the route is open");
        }
      }
    }
    if (const auto *TopUp = std::get_if<BudgetTopUp>(&Change)) {
      const bool IsCreatedByPlan = std::any_of(
          Stated.Changes.begin(), Stated.Changes.end(), [&](const auto &Other) {
            return subjectOf(Other) == "workspace:" + TopUp->Name.str();
          });
      if (!IsCreatedByPlan && !Workspaces.contains(TopUp->Name)) {
        Result.push_back("there is no workspace " + TopUp->Name.str());
      }
    }
  }
  return Result;
}

void Catalog::applyChange(LogTime When, const Change &Accepted) {
  if (const auto *NewWorkspace = std::get_if<Workspace>(&Accepted)) {
    eraseKey(NewWorkspace->Name);
    Workspaces[NewWorkspace->Name] = *NewWorkspace;
    WorkspacesByKey[NewWorkspace->KeyDigest] = NewWorkspace->Name;
  } else if (const auto *NewRoute = std::get_if<Route>(&Accepted)) {
    Routes[NewRoute->Name] = *NewRoute;
  } else if (const auto *NewTarget = std::get_if<Target>(&Accepted)) {
    Targets[NewTarget->Name] = *NewTarget;
  } else if (const auto *NewMove = std::get_if<Move>(&Accepted)) {
    Moves[NewMove->Name] = {*NewMove, Version, When, false};
  } else if (const auto *Removed = std::get_if<Removal>(&Accepted)) {
    if (Removed->What == Removal::Kind::Workspace) {
      eraseKey(WorkspaceId{Removed->Name});
      Workspaces.erase(WorkspaceId{Removed->Name});
    } else if (Removed->What == Removal::Kind::Route) {
      Routes.erase(RouteId{Removed->Name});
    } else {
      Targets.erase(TargetId{Removed->Name});
    }
  }
}

void Catalog::eraseKey(const WorkspaceId &Name) {
  const auto It = Workspaces.find(Name);
  if (It != Workspaces.end()) {
    WorkspacesByKey.erase(It->second.KeyDigest);
  }
}

const Workspace *Catalog::findByKeyDigest(const std::string &Digest) const {
  const auto It = WorkspacesByKey.find(Digest);
  return It == WorkspacesByKey.end() ? nullptr : &Workspaces.at(It->second);
}

std::uint64_t Catalog::changeVersion(const std::string &Subject) const {
  const auto It = ChangeVersions.find(Subject);
  return It == ChangeVersions.end() ? 0 : It->second;
}

void Catalog::expirePlans(LogTime Now) {
  std::erase_if(Plans, [&](const auto &Entry) {
    return Entry.second.Since + config::PlanRetention < Now;
  });
}

const PlanEntry *Catalog::find(const PlanId &Name) const {
  const auto It = Plans.find(Name);
  return It == Plans.end() ? nullptr : &It->second;
}

std::vector<const PlanEntry *> Catalog::topUps() const {
  std::vector<const PlanEntry *> Result;
  for (const auto &[Name, Entry] : Plans) {
    const auto &Changes = Entry.Stated.Changes;
    if (Entry.State == PlanState::Accepted &&
        std::any_of(Changes.begin(), Changes.end(), internal::commutes)) {
      Result.push_back(&Entry);
    }
  }
  return Result;
}

bool Catalog::hasTopUp(const WorkspaceId &Name) const {
  const auto Funds = [&](const Change &Accepted) {
    const auto *TopUp = std::get_if<BudgetTopUp>(&Accepted);
    return TopUp != nullptr && TopUp->Name == Name;
  };
  return std::any_of(Plans.begin(), Plans.end(), [&](const auto &Entry) {
    const auto &Changes = Entry.second.Stated.Changes;
    return Entry.second.State == PlanState::Accepted &&
           std::any_of(Changes.begin(), Changes.end(), Funds);
  });
}

namespace internal {

[[nodiscard]] static json savePlan(const PlanEntry &Entry) {
  return {{"plan", json::parse(encode(ConfigRecord{Entry.Stated}))},
          {"state", static_cast<int>(Entry.State)},
          {"since", Entry.Since.time_since_epoch().count()},
          {"version", Entry.Version},
          {"conflicts", Entry.Conflicts}};
}

[[nodiscard]] static PlanEntry loadPlan(const json &Source) {
  PlanEntry Result;
  Result.Stated = std::get<Plan>(decodeConfig(Source.at("plan").dump()));
  Result.State = static_cast<PlanState>(Source.at("state").get<int>());
  Result.Since = LogTime{Millis{Source.at("since").get<std::int64_t>()}};
  Result.Version = Source.at("version").get<std::uint64_t>();
  Result.Conflicts = Source.at("conflicts").get<std::vector<std::string>>();
  return Result;
}

} // namespace internal

std::string Catalog::save() const {
  std::vector<Change> Current;
  for (const auto &[Name, Workspace] : Workspaces) {
    Current.emplace_back(Workspace);
  }
  for (const auto &[Name, Route] : Routes) {
    Current.emplace_back(Route);
  }
  for (const auto &[Name, Target] : Targets) {
    Current.emplace_back(Target);
  }
  json Result{
      {"next", NextOffset}, {"version", Version}, {"touched", ChangeVersions}};
  Result["current"] = json::parse(encode(Current));
  for (const auto &[Name, Entry] : Plans) {
    Result["plans"].push_back(internal::savePlan(Entry));
  }
  for (const auto &[Name, Entry] : Moves) {
    Result["moves"].push_back(
        {{"move", json::parse(encode(std::vector<Change>{Entry.Order}))},
         {"version", Entry.Version},
         {"ended", Entry.Ended},
         {"since", Entry.Since.time_since_epoch().count()}});
  }
  return Result.dump();
}

Catalog Catalog::load(std::string_view Text) {
  try {
    const auto Source = json::parse(Text);
    Catalog Result;
    if (!Source.at("current").empty()) {
      for (const auto &Change : decodeChanges(Source.at("current").dump())) {
        Result.applyChange({}, Change);
      }
    }
    for (const auto &Saved : Source.value("plans", json::array())) {
      auto Entry = internal::loadPlan(Saved);
      Result.Plans.emplace(Entry.Stated.Name, Entry);
    }
    for (const auto &Saved : Source.value("moves", json::array())) {
      const auto Confirmed =
          std::get<Move>(decodeChanges(Saved.at("move").dump()).front());
      Result.Moves[Confirmed.Name] = {
          Confirmed, Saved.at("version").get<std::uint64_t>(),
          LogTime{Millis{Saved.at("since").get<std::int64_t>()}},
          Saved.at("ended").get<bool>()};
    }
    Result.ChangeVersions =
        Source.at("touched").get<std::map<std::string, std::uint64_t>>();
    Result.NextOffset = Source.at("next").get<std::uint64_t>();
    Result.Version = Source.at("version").get<std::uint64_t>();
    return Result;
  } catch (const json::exception &Failure) {
    throw std::invalid_argument{Failure.what()};
  } catch (const std::bad_variant_access &) {
    throw std::invalid_argument{
        "a saved catalog contains a record of another kind"};
  }
}

} // namespace goldcrestnotch

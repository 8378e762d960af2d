/// @file
/// How plans become configuration.

#include "goldcrestnotch/catalog/catalog.hpp"

#include <algorithm>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "goldcrestnotch/config/limits.hpp"

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

/// @brief Top-ups add up in any order, so they conflict with nothing.
[[nodiscard]] static bool commutes(const Change &What) {
  return std::holds_alternative<BudgetTopUp>(What);
}

} // namespace internal

void Catalog::skip(std::uint64_t Offset) noexcept {
  Next = std::max(Next, Offset + 1);
}

void Catalog::apply(std::uint64_t Offset, LogTime When,
                    const ConfigRecord &Record) {
  if (Offset < Next) {
    return;
  }
  Next = Offset + 1;
  forget(When);
  std::visit([&](const auto &What) { take(When, What); }, Record);
}

void Catalog::take(LogTime When, const Plan &Stated) {
  Plans.try_emplace(Stated.Name,
                    PlanEntry{Stated, PlanState::Stated, When, 0, {}});
}

void Catalog::take(LogTime When, const Confirmation &Word) {
  const auto It = Plans.find(Word.Name);
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
  Version = Next;
  Entry.Version = Version;
  for (const auto &One : Entry.Stated.Changes) {
    put(When, One);
    Touched[subjectOf(One)] = Version;
  }
}

void Catalog::take(LogTime, const MoveEnded &Word) {
  const auto It = Moves.find(Word.Name);
  if (It == Moves.end() || It->second.Ended) {
    return;
  }
  It->second.Ended = true;
  const auto On = Routes.find(It->second.What.On);
  const bool Stands =
      On != Routes.end() && On->second.Version == It->second.What.From;
  if (Word.Done && Stands) {
    On->second.Version = It->second.What.To;
    Version = Next;
    Touched["route:" + On->first.str()] = Version;
  }
}

std::vector<std::string> Catalog::conflicts(const Plan &Stated) const {
  std::vector<std::string> Result;
  for (const auto &One : Stated.Changes) {
    const auto Subject = subjectOf(One);
    const auto It = Touched.find(Subject);
    if (!internal::commutes(One) && It != Touched.end() &&
        It->second > Stated.Base) {
      Result.push_back(Subject + " was changed at version " +
                       std::to_string(It->second) + ", after base " +
                       std::to_string(Stated.Base));
    }
    if (const auto *Named = std::get_if<Workspace>(&One)) {
      const auto *Same = findKey(Named->KeyDigest);
      if (Same != nullptr && Same->Name != Named->Name) {
        Result.push_back("the key of " + Subject + " is in use");
      }
    }
    if (const auto *Moved = std::get_if<Move>(&One)) {
      const auto Route = Routes.find(Moved->On);
      if (Route == Routes.end() || Route->second.Version != Moved->From) {
        Result.push_back("route " + Moved->On.str() + " is not at version " +
                         Moved->From.str());
      }
      if (Moves.contains(Moved->Name)) {
        Result.push_back("there was a move " + Moved->Name.str() + " before");
      }
      for (const auto &[Name, Entry] : Moves) {
        if (Entry.What.On == Moved->On && !Entry.Ended) {
          Result.push_back("move " + Name.str() + " of the route is open");
        }
      }
    }
    if (const auto *Added = std::get_if<BudgetTopUp>(&One)) {
      const bool InPlan = std::any_of(
          Stated.Changes.begin(), Stated.Changes.end(), [&](const auto &C) {
            return subjectOf(C) == "workspace:" + Added->Name.str();
          });
      if (!InPlan && !Workspaces.contains(Added->Name)) {
        Result.push_back("there is no workspace " + Added->Name.str());
      }
    }
  }
  return Result;
}

void Catalog::put(LogTime When, const Change &What) {
  if (const auto *W = std::get_if<Workspace>(&What)) {
    dropKey(W->Name);
    Workspaces[W->Name] = *W;
    Keys[W->KeyDigest] = W->Name;
  } else if (const auto *R = std::get_if<Route>(&What)) {
    Routes[R->Name] = *R;
  } else if (const auto *T = std::get_if<Target>(&What)) {
    Targets[T->Name] = *T;
  } else if (const auto *M = std::get_if<Move>(&What)) {
    Moves[M->Name] = {*M, Version, When, false};
  } else if (const auto *Gone = std::get_if<Removal>(&What)) {
    if (Gone->What == Removal::Kind::Workspace) {
      dropKey(WorkspaceId{Gone->Name});
      Workspaces.erase(WorkspaceId{Gone->Name});
    } else if (Gone->What == Removal::Kind::Route) {
      Routes.erase(RouteId{Gone->Name});
    } else {
      Targets.erase(TargetId{Gone->Name});
    }
  }
}

void Catalog::dropKey(const WorkspaceId &Name) {
  const auto It = Workspaces.find(Name);
  if (It != Workspaces.end()) {
    Keys.erase(It->second.KeyDigest);
  }
}

const Workspace *Catalog::findKey(const std::string &Digest) const {
  const auto It = Keys.find(Digest);
  return It == Keys.end() ? nullptr : &Workspaces.at(It->second);
}

std::uint64_t Catalog::touched(const std::string &Subject) const {
  const auto It = Touched.find(Subject);
  return It == Touched.end() ? 0 : It->second;
}

void Catalog::forget(LogTime Now) {
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
  for (const auto &[Name, W] : Workspaces) {
    Current.emplace_back(W);
  }
  for (const auto &[Name, R] : Routes) {
    Current.emplace_back(R);
  }
  for (const auto &[Name, T] : Targets) {
    Current.emplace_back(T);
  }
  json Result{{"next", Next}, {"version", Version}, {"touched", Touched}};
  Result["current"] = json::parse(encode(Current));
  for (const auto &[Name, Entry] : Plans) {
    Result["plans"].push_back(internal::savePlan(Entry));
  }
  for (const auto &[Name, Entry] : Moves) {
    Result["moves"].push_back(
        {{"move", json::parse(encode(std::vector<Change>{Entry.What}))},
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
      for (const auto &One : decodeChanges(Source.at("current").dump())) {
        Result.put({}, One);
      }
    }
    for (const auto &One : Source.value("plans", json::array())) {
      auto Entry = internal::loadPlan(One);
      Result.Plans.emplace(Entry.Stated.Name, Entry);
    }
    for (const auto &One : Source.value("moves", json::array())) {
      const auto What =
          std::get<Move>(decodeChanges(One.at("move").dump()).front());
      Result.Moves[What.Name] = {
          What, One.at("version").get<std::uint64_t>(),
          LogTime{Millis{One.at("since").get<std::int64_t>()}},
          One.at("ended").get<bool>()};
    }
    Result.Touched =
        Source.at("touched").get<std::map<std::string, std::uint64_t>>();
    Result.Next = Source.at("next").get<std::uint64_t>();
    Result.Version = Source.at("version").get<std::uint64_t>();
    return Result;
  } catch (const json::exception &Failure) {
    throw std::invalid_argument{Failure.what()};
  }
}

} // namespace goldcrestnotch

/// @file
/// The operators' API.

#include "goldcrestnotch/entry/operator_handler.hpp"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/entry/answer.hpp"
#include "goldcrestnotch/kernel/await.hpp"
#include "goldcrestnotch/membership/membership.hpp"

namespace goldcrestnotch {

namespace asio = boost::asio;
using nlohmann::json;

namespace internal {

static constexpr std::string_view Root = "/operator/v1/";
static constexpr std::string_view ConfirmSuffix = "/confirm";
static constexpr Millis ChangeLimit{8'000};
static constexpr Millis AppendRetry{200};
static constexpr Millis ComeBack{5'000};

[[nodiscard]] static const char *nameOf(PlanState State) {
  switch (State) {
  case PlanState::Stated:
    return "stated";
  case PlanState::Accepted:
    return "accepted";
  case PlanState::Conflicted:
    return "conflicted";
  }
  return "";
}

[[nodiscard]] static json planJson(const PlanEntry &Entry,
                                   const std::vector<std::string> &Conflicts) {
  json Lines = json::array();
  for (const auto &One : Entry.Stated.Changes) {
    Lines.push_back(describe(One));
  }
  return {{"plan", Entry.Stated.Name.str()},
          {"state", nameOf(Entry.State)},
          {"operator", Entry.Stated.Operator},
          {"base", Entry.Stated.Base},
          {"version", Entry.Version},
          {"changes", Lines},
          {"conflicts", Conflicts}};
}

[[nodiscard]] static std::string operatorName(const http::Request &Asked) {
  const std::string Name{Asked.field("X-Operator")};
  return Name.empty() ? "operator" : Name.substr(0, 64);
}

/// @brief Whether all top-ups of a plan stand in the ledger.
[[nodiscard]] static bool carried(LedgerService &Ledger,
                                  const PlanEntry &Entry) {
  std::size_t Index = 0;
  for (const auto &One : Entry.Stated.Changes) {
    const PlanId Part{Entry.Stated.Name.str() + "#" + std::to_string(Index++)};
    if (const auto *Added = std::get_if<BudgetTopUp>(&One)) {
      const auto Pool = budgetPool(Added->Name);
      if (!Ledger.shard(Pool).state().contains(Part)) {
        return false;
      }
    }
  }
  return true;
}

} // namespace internal

OperatorHandler::OperatorHandler(EntryContext &With)
    : With{With}, Log{With.host().settings().Platform} {}

void OperatorHandler::handle(http::Exchange &Talk) {
  if (!sameSecret(bearer(Talk.request()), With.host().settings().OperatorKey)) {
    throw Error{401, "key_unknown", "the operator key is wrong"};
  }
  Talk.reply(route(Talk));
}

http::Response OperatorHandler::route(http::Exchange &Talk) {
  const auto &Asked = Talk.request();
  const auto Path = Asked.Path.substr(internal::Root.size());
  if (Asked.Method == "POST" && Path == "intents") {
    return state(Talk);
  }
  if (Path.starts_with("plans/")) {
    const auto Rest = Path.substr(6);
    if (Asked.Method == "POST" && Rest.ends_with(internal::ConfirmSuffix)) {
      const auto Size = Rest.size() - internal::ConfirmSuffix.size();
      return confirm(Talk, PlanId{Rest.substr(0, Size)});
    }
    if (Asked.Method == "GET") {
      return show(Talk, PlanId{Rest});
    }
  }
  if (Asked.Method == "GET" && Path == "spend") {
    return spend(Talk);
  }
  if (Asked.Method == "GET" && Path == "status") {
    return status(Talk);
  }
  if (Asked.Method == "GET" && Path == "fleet") {
    return fleet();
  }
  throw Error{404, "not_found", "there is no such operation"};
}

bool OperatorHandler::waitFor(http::Exchange &Talk,
                              std::function<bool()> Condition, Instant Until) {
  return await<bool>(Talk.yield(), [&](auto Done) {
    asio::post(With.host().control(), [this, Condition, Until, Done] {
      With.catalogs().wait(Condition, Until, Done);
    });
  });
}

void OperatorHandler::append(http::Exchange &Talk, const ConfigRecord &What,
                             Instant Until) {
  const auto Text = encode(What);
  while (true) {
    try {
      (void)Log.append(Talk.yield(), "config", Text, Until);
      return;
    } catch (const Error &Failure) {
      if (DecisionClock::now() + internal::AppendRetry >= Until) {
        throw Error{503, "log_unavailable",
                    "the platform's log does not answer; ask for the plan's "
                    "state before trying again"}
            .withRetryAfter(internal::ComeBack)
            .withVerdict(Verdict::MayHaveRun);
      }
    }
    asio::steady_timer Timer{executorOf(Talk.yield())};
    Timer.expires_after(internal::AppendRetry);
    Timer.async_wait(Talk.yield());
  }
}

http::Response OperatorHandler::state(http::Exchange &Talk) {
  Plan Stated;
  try {
    Stated.Changes = decodeChanges(Talk.request().Body);
  } catch (const std::invalid_argument &Failure) {
    throw Error{400, "invalid_intent", Failure.what()};
  }
  With.requireServing();
  Stated.Name = PlanId{randomHex(8)};
  Stated.Operator = internal::operatorName(Talk.request());
  Stated.Base = With.catalog()->version();
  const auto Until = DecisionClock::now() + internal::ChangeLimit;
  append(Talk, Stated, Until);
  const auto Conflicts = With.catalog()->conflicts(Stated);
  return jsonAnswer(internal::planJson(
      PlanEntry{Stated, PlanState::Stated, {}, 0, {}}, Conflicts));
}

http::Response OperatorHandler::confirm(http::Exchange &Talk,
                                        const PlanId &Name) {
  const auto Until = DecisionClock::now() + internal::ChangeLimit;
  append(Talk, Confirmation{Name, internal::operatorName(Talk.request())},
         Until);
  auto &Catalogs = With.catalogs();
  auto &Ledger = With.ledger();
  const bool Ended = waitFor(
      Talk,
      [&Catalogs, &Ledger, Name] {
        const auto *Entry = Catalogs.catalog().find(Name);
        return Entry != nullptr && Entry->State != PlanState::Stated &&
               (Entry->State == PlanState::Conflicted ||
                internal::carried(Ledger, *Entry));
      },
      Until);
  const auto Current = With.catalog();
  const auto *Entry = Current->find(Name);
  if (!Ended && Entry == nullptr) {
    throw Error{404, "plan_unknown", "there is no such plan"};
  }
  if (!Ended) {
    throw Error{503, "not_in_force",
                "the confirmation is in the log, but not yet in force here; "
                "ask for the plan's state"}
        .withRetryAfter(internal::ComeBack)
        .withVerdict(Verdict::MayHaveRun);
  }
  const bool Won = Entry->State == PlanState::Accepted;
  return jsonAnswer(internal::planJson(*Entry, Entry->Conflicts),
                    Won ? 200 : 409);
}

http::Response OperatorHandler::show(http::Exchange &, const PlanId &Name) {
  const auto Current = With.catalog();
  const auto *Entry = Current->find(Name);
  if (Entry == nullptr) {
    throw Error{404, "plan_unknown", "there is no such plan"};
  }
  const auto Conflicts = Entry->State == PlanState::Stated
                             ? Current->conflicts(Entry->Stated)
                             : Entry->Conflicts;
  return jsonAnswer(internal::planJson(*Entry, Conflicts));
}

http::Response OperatorHandler::spend(http::Exchange &Talk) {
  auto &Ledger = With.ledger();
  const auto Rows = callOn<json>(
      With.host().control().get_executor(), Talk.yield(), [&Ledger] {
        json Result = json::array();
        for (const auto &Shard : Ledger.shards()) {
          for (const auto &[Name, Source] : Shard->state().pools()) {
            if (workspaceOf(Name).empty()) {
              continue;
            }
            const auto Remaining = Source.remaining();
            const auto InDoubt =
                Source.Total - Source.Billed - Source.WrittenOff - Remaining;
            Result.push_back({{"workspace", workspaceOf(Name).str()},
                              {"budget", Source.Total.count()},
                              {"spent", Source.Billed.count()},
                              {"written_off", Source.WrittenOff.count()},
                              {"in_doubt", InDoubt.count()},
                              {"held", (Remaining - Source.free()).count()},
                              {"free", Source.free().count()}});
          }
        }
        return Result;
      });
  return jsonAnswer({{"workspaces", Rows}});
}

http::Response OperatorHandler::status(http::Exchange &Talk) {
  const auto Current = With.catalog();
  const auto Moves =
      callOn<json>(With.host().control().get_executor(), Talk.yield(),
                   [this] { return With.moves().status(); });
  json Routes = json::array();
  for (const auto &[Name, One] : Current->routes()) {
    Routes.push_back(
        {{"route", Name.str()},
         {"serves", One.Kind == RouteKind::Chat ? "chat" : "service"},
         {"idempotent", One.Idempotent},
         {"version", With.moves().settledVersion(One).str()}});
  }
  json Targets = json::array();
  for (const auto &[Name, One] : Current->targets()) {
    Targets.push_back({{"target", Name.str()},
                       {"route", One.Serves.str()},
                       {"version", One.Version.str()},
                       {"address", One.Where.str()},
                       {"domain", One.Domain.str()},
                       {"capacity", One.Capacity},
                       {"leaving", One.Leaving}});
  }
  return jsonAnswer({{"vm", With.host().self().str()},
                     {"version", Current->version()},
                     {"log_connected", With.catalogs().connected()},
                     {"routes", Routes},
                     {"targets", Targets},
                     {"moves", Moves}});
}

http::Response OperatorHandler::fleet() {
  const auto View = With.host().service<Membership>().snapshot();
  json Rows = json::array();
  for (const auto &[Name, One] : View->vms()) {
    Rows.push_back({{"vm", Name.str()},
                    {"domain", One.Domain.str()},
                    {"entry", One.Entry.str()},
                    {"state", One.Leaving ? "leaving" : "live"}});
  }
  return jsonAnswer({{"vms", Rows}});
}

} // namespace goldcrestnotch

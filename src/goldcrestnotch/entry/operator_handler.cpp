/// @file
/// Implements the operations of the operator API.

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

static constexpr std::string_view PathPrefix = "/operator/v1/";
static constexpr std::string_view ConfirmSuffix = "/confirm";
static constexpr Millis ChangeTimeout{8'000};
static constexpr Millis AppendRetryInterval{200};
static constexpr Millis RetryDelay{5'000};

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
  json Descriptions = json::array();
  for (const auto &PlannedChange : Entry.Stated.Changes) {
    Descriptions.push_back(describe(PlannedChange));
  }
  return {{"plan", Entry.Stated.Name.str()},
          {"state", nameOf(Entry.State)},
          {"operator", Entry.Stated.Operator},
          {"base", Entry.Stated.Base},
          {"version", Entry.Version},
          {"changes", Descriptions},
          {"conflicts", Conflicts}};
}

[[nodiscard]] static std::string operatorName(const http::Request &Request) {
  const std::string Name{Request.field("X-Operator")};
  return Name.empty() ? "operator" : Name.substr(0, 64);
}

/// @brief Tells whether the ledger has applied all top-ups of a plan.
[[nodiscard]] static bool topUpsApplied(LedgerService &Ledger,
                                        const PlanEntry &Entry) {
  std::size_t Index = 0;
  for (const auto &PlannedChange : Entry.Stated.Changes) {
    const PlanId TopUpId{Entry.Stated.Name.str() + "#" +
                         std::to_string(Index++)};
    if (const auto *TopUp = std::get_if<BudgetTopUp>(&PlannedChange)) {
      const auto Pool = budgetPool(TopUp->Name);
      if (!Ledger.shard(Pool).state().contains(TopUpId)) {
        return false;
      }
    }
  }
  return true;
}

} // namespace internal

OperatorHandler::OperatorHandler(EntryContext &Context)
    : Context{Context}, Log{Context.host().settings().Platform} {}

void OperatorHandler::handle(http::Exchange &Exchange) {
  if (!sameSecret(bearerKey(Exchange.request()),
                  Context.host().settings().OperatorKey)) {
    throw Error{401, "key_unknown", "the operator key is not valid"};
  }
  Exchange.reply(route(Exchange));
}

http::Response OperatorHandler::route(http::Exchange &Exchange) {
  const auto &Request = Exchange.request();
  const auto Path = Request.Path.substr(internal::PathPrefix.size());
  if (Request.Method == "POST" && Path == "intents") {
    return statePlan(Exchange);
  }
  if (Path.starts_with("plans/")) {
    const auto Rest = Path.substr(6);
    if (Request.Method == "POST" && Rest.ends_with(internal::ConfirmSuffix)) {
      const auto Size = Rest.size() - internal::ConfirmSuffix.size();
      return confirmPlan(Exchange, PlanId{Rest.substr(0, Size)});
    }
    if (Request.Method == "GET") {
      return showPlan(Exchange, PlanId{Rest});
    }
  }
  if (Request.Method == "GET" && Path == "spend") {
    return spend(Exchange);
  }
  if (Request.Method == "GET" && Path == "status") {
    return status(Exchange);
  }
  if (Request.Method == "GET" && Path == "fleet") {
    return fleet();
  }
  throw Error{404, "not_found",
              "no operation exists at this path for this method"};
}

bool OperatorHandler::waitFor(http::Exchange &Exchange,
                              std::function<bool()> Condition,
                              Instant Deadline) {
  return await<bool>(Exchange.yield(), [&](auto Done) {
    asio::post(Context.host().control(), [this, Condition, Deadline, Done] {
      Context.catalogService().wait(Condition, Deadline, Done);
    });
  });
}

void OperatorHandler::append(http::Exchange &Exchange,
                             const ConfigRecord &Record, Instant Deadline) {
  const auto Text = encode(Record);
  while (true) {
    try {
      (void)Log.append(Exchange.yield(), "config", Text, Deadline);
      return;
    } catch (const Error &Failure) {
      if (DecisionClock::now() + internal::AppendRetryInterval >= Deadline) {
        throw Error{503, "log_unavailable",
                    "the log of the platform is not available; check the state "
                    "of the plan before trying again"}
            .withRetryAfter(internal::RetryDelay)
            .withVerdict(Verdict::MayHaveRun);
      }
    }
    asio::steady_timer Timer{executorOf(Exchange.yield())};
    Timer.expires_after(internal::AppendRetryInterval);
    Timer.async_wait(Exchange.yield());
  }
}

http::Response OperatorHandler::statePlan(http::Exchange &Exchange) {
  Plan Stated;
  try {
    Stated.Changes = decodeChanges(Exchange.request().Body);
  } catch (const std::invalid_argument &Failure) {
    throw Error{400, "invalid_intent", Failure.what()};
  }
  Context.requireServing();
  Stated.Name = PlanId{randomHex(8)};
  Stated.Operator = internal::operatorName(Exchange.request());
  Stated.Base = Context.catalog()->version();
  const auto Deadline = DecisionClock::now() + internal::ChangeTimeout;
  append(Exchange, Stated, Deadline);
  const auto Conflicts = Context.catalog()->conflicts(Stated);
  return jsonResponse(internal::planJson(
      PlanEntry{Stated, PlanState::Stated, {}, 0, {}}, Conflicts));
}

http::Response OperatorHandler::confirmPlan(http::Exchange &Exchange,
                                            const PlanId &Name) {
  const auto Deadline = DecisionClock::now() + internal::ChangeTimeout;
  append(Exchange,
         Confirmation{Name, internal::operatorName(Exchange.request())},
         Deadline);
  auto &Catalogs = Context.catalogService();
  auto &Ledger = Context.ledger();
  const bool Settled = waitFor(
      Exchange,
      [&Catalogs, &Ledger, Name] {
        const auto *Entry = Catalogs.catalog().find(Name);
        return Entry != nullptr && Entry->State != PlanState::Stated &&
               (Entry->State == PlanState::Conflicted ||
                internal::topUpsApplied(Ledger, *Entry));
      },
      Deadline);
  const auto Current = Context.catalog();
  const auto *Entry = Current->find(Name);
  if (!Settled && Entry == nullptr) {
    throw Error{404, "plan_unknown", "no plan has this id"};
  }
  if (!Settled) {
    throw Error{503, "not_in_force",
                "the confirmation is in the log, but this VM has not applied "
                "it yet; check the state of the plan"}
        .withRetryAfter(internal::RetryDelay)
        .withVerdict(Verdict::MayHaveRun);
  }
  const bool Accepted = Entry->State == PlanState::Accepted;
  return jsonResponse(internal::planJson(*Entry, Entry->Conflicts),
                      Accepted ? 200 : 409);
}

http::Response OperatorHandler::showPlan(http::Exchange &, const PlanId &Name) {
  const auto Current = Context.catalog();
  const auto *Entry = Current->find(Name);
  if (Entry == nullptr) {
    throw Error{404, "plan_unknown", "no plan has this id"};
  }
  const auto Conflicts = Entry->State == PlanState::Stated
                             ? Current->conflicts(Entry->Stated)
                             : Entry->Conflicts;
  return jsonResponse(internal::planJson(*Entry, Conflicts));
}

http::Response OperatorHandler::spend(http::Exchange &Exchange) {
  auto &Ledger = Context.ledger();
  const auto Rows = callOn<json>(
      Context.host().control().get_executor(), Exchange.yield(), [&Ledger] {
        json Result = json::array();
        for (const auto &Shard : Ledger.shards()) {
          for (const auto &[Name, Pool] : Shard->state().pools()) {
            if (workspaceOf(Name).empty()) {
              continue;
            }
            const auto Remaining = Pool.remaining();
            const auto InDoubt =
                Pool.Total - Pool.Billed - Pool.WrittenOff - Remaining;
            Result.push_back({{"workspace", workspaceOf(Name).str()},
                              {"budget", Pool.Total.count()},
                              {"spent", Pool.Billed.count()},
                              {"written_off", Pool.WrittenOff.count()},
                              {"in_doubt", InDoubt.count()},
                              {"held", (Remaining - Pool.free()).count()},
                              {"free", Pool.free().count()}});
          }
        }
        return Result;
      });
  return jsonResponse({{"workspaces", Rows}});
}

http::Response OperatorHandler::status(http::Exchange &Exchange) {
  const auto Current = Context.catalog();
  const auto Moves =
      callOn<json>(Context.host().control().get_executor(), Exchange.yield(),
                   [this] { return Context.rollout().status(); });
  json Routes = json::array();
  for (const auto &[Name, ListedRoute] : Current->routes()) {
    Routes.push_back(
        {{"route", Name.str()},
         {"serves", ListedRoute.Kind == RouteKind::Chat ? "chat" : "service"},
         {"idempotent", ListedRoute.Idempotent},
         {"version", Context.rollout().settledVersion(ListedRoute).str()}});
  }
  json Targets = json::array();
  for (const auto &[Name, ListedTarget] : Current->targets()) {
    Targets.push_back({{"target", Name.str()},
                       {"route", ListedTarget.Serves.str()},
                       {"version", ListedTarget.Version.str()},
                       {"address", ListedTarget.Address.str()},
                       {"domain", ListedTarget.Domain.str()},
                       {"capacity", ListedTarget.Capacity},
                       {"leaving", ListedTarget.Leaving}});
  }
  return jsonResponse({{"vm", Context.host().self().str()},
                       {"version", Current->version()},
                       {"log_connected", Context.catalogService().connected()},
                       {"routes", Routes},
                       {"targets", Targets},
                       {"moves", Moves}});
}

http::Response OperatorHandler::fleet() {
  const auto View = Context.host().service<Membership>().snapshot();
  json Vms = json::array();
  for (const auto &[Name, Vm] : View->vms()) {
    Vms.push_back({{"vm", Name.str()},
                   {"domain", Vm.Domain.str()},
                   {"entry", Vm.Entry.str()},
                   {"state", Vm.Leaving ? "leaving" : "live"}});
  }
  return jsonResponse({{"vms", Vms}});
}

} // namespace goldcrestnotch

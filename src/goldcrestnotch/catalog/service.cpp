/// @file
/// Implementation of the catalog plug-in.

#include "goldcrestnotch/catalog/service.hpp"

#include "goldcrestnotch/ledger/service.hpp"
#include "goldcrestnotch/membership/membership.hpp"

namespace goldcrestnotch {

namespace internal {

/// Interval of periodic work while calls of `wait` are pending. It is ten times
/// as long otherwise.
static constexpr Millis TickInterval{50};
/// The home VM of an item appends it to the ledger at once, and so does a VM
/// whose requests wait for it. Other VMs append it only if it is still missing
/// after this delay.
static constexpr Millis OtherVmDelay{2'000};
/// Delay before an item that is still missing from the ledger is appended
/// again.
static constexpr Millis ForwardRetryDelay{2'000};
static const RegisterPlugin<CatalogService> Registered{Stage::State, "catalog"};

static void applyConfig(Catalog &Config, const LogRecord &Record) {
  Config.apply(Record.Offset, Record.When, decodeConfig(Record.Body));
}

} // namespace internal

CatalogService::CatalogService(Kernel &Host)
    : Host{Host}, ConfigFollower{
                      Host.control(), LogClient{Host.settings().Platform},
                      "config", internal::applyConfig,
                      FollowerCallbacks{[this] { publish(); },
                                        [this](const LogRecord &) {
                                          this->Host.metrics().count(
                                              "log_records_bad_total");
                                        }}} {
  Host.emplace(*this);
}

void CatalogService::start() {
  NextSnapshot = DecisionClock::now() + Host.settings().SnapshotInterval;
  ConfigFollower.start();
  boost::asio::spawn(Host.control(), [this](boost::asio::yield_context Yield) {
    runPeriodicWork(Yield);
  });
}

void CatalogService::publish() {
  Ready = true;
  std::atomic_store(&Published,
                    std::shared_ptr<const Catalog>{
                        std::make_shared<Catalog>(ConfigFollower.state())});
  Host.metrics().set("config_version",
                     static_cast<double>(catalog().version()));
  forwardToLedger({});
  for (const auto &Callback : ChangeHooks) {
    Callback();
  }
  settleWaiters();
}

void CatalogService::wait(std::function<bool()> Condition, Instant Deadline,
                          std::function<void(bool)> Done) {
  Waiters.push_back({std::move(Condition), Deadline, std::move(Done)});
  settleWaiters();
}

void CatalogService::settleWaiters() {
  const auto Now = DecisionClock::now();
  for (auto It = Waiters.begin(); It != Waiters.end();) {
    const bool IsMet = It->Condition();
    if (IsMet || Now >= It->Deadline) {
      const auto Done = std::move(It->Done);
      It = Waiters.erase(It);
      Done(IsMet);
    } else {
      ++It;
    }
  }
}

void CatalogService::runPeriodicWork(boost::asio::yield_context Yield) {
  boost::asio::steady_timer Timer{Host.control()};
  while (true) {
    Timer.expires_after(Waiters.empty() ? internal::TickInterval * 10
                                        : internal::TickInterval);
    Timer.async_wait(Yield);
    settleWaiters();
    forwardToLedger({});
    saveSnapshot(Yield);
  }
}

void CatalogService::expedite(const PoolId &Awaited) {
  forwardToLedger(Awaited);
}

void CatalogService::forwardToLedger(const PoolId &Awaited) {
  if (!Host.service<LedgerService>().ready()) {
    return;
  }
  for (const auto *Entry : catalog().topUps()) {
    forwardTopUps(*Entry, Awaited);
  }
  for (const auto &[Name, Target] : catalog().targets()) {
    forwardCapacity(Target, Awaited);
  }
}

bool CatalogService::beginForward(const std::string &Key, bool IsAwaited) {
  const auto Now = DecisionClock::now();
  const bool IsHome =
      Host.service<Membership>().view().home(Key) == Host.self().Vm;
  auto &Entry =
      Forwards
          .try_emplace(
              Key, Forward{Now + (IsHome ? Millis{0} : internal::OtherVmDelay)})
          .first->second;
  const bool FirstIsAwaited = IsAwaited && !Entry.Appended;
  if (Now < Entry.NextAppend && !FirstIsAwaited) {
    return false;
  }
  Entry = Forward{Now + internal::ForwardRetryDelay, true};
  return true;
}

void CatalogService::forwardTopUps(const PlanEntry &Entry,
                                   const PoolId &Awaited) {
  std::size_t Index = 0;
  for (const auto &Change : Entry.Stated.Changes) {
    const auto *AddedTokens = std::get_if<BudgetTopUp>(&Change);
    const PlanId Part{Entry.Stated.Name.str() + "#" + std::to_string(Index++)};
    if (AddedTokens == nullptr) {
      continue;
    }
    const auto Pool = budgetPool(AddedTokens->Name);
    auto &Shard = Host.service<LedgerService>().shard(Pool);
    if (Shard.state().contains(Part)) {
      Forwards.erase(Part.str());
    } else if (beginForward(Part.str(), Pool == Awaited)) {
      Shard.emplace(TopUp{Pool, Part, AddedTokens->Amount});
    }
  }
}

void CatalogService::forwardCapacity(const Target &Changed,
                                     const PoolId &Awaited) {
  const auto Pool = slotPool(Changed.Name);
  auto &Shard = Host.service<LedgerService>().shard(Pool);
  const auto *State = Shard.state().find(Pool);
  const auto Version = catalog().changeVersion("target:" + Changed.Name.str());
  const auto Key = Pool.str() + "@" + std::to_string(Version);
  if (State != nullptr && State->Version >= Version) {
    Forwards.erase(Key);
  } else if (beginForward(Key, Pool == Awaited)) {
    Shard.emplace(Capacity{Pool, Version, Tokens{Changed.Capacity}});
  }
}

void CatalogService::saveSnapshot(boost::asio::yield_context Yield) {
  const auto Now = DecisionClock::now();
  if (Now < NextSnapshot) {
    return;
  }
  NextSnapshot = Now + Host.settings().SnapshotInterval;
  const auto &View = Host.service<Membership>().view();
  if (!ConfigFollower.ready() ||
      View.home("snapshot/config") != Host.self().Vm) {
    return;
  }
  try {
    ConfigFollower.snapshot(Yield);
    Host.metrics().count("snapshots_total");
  } catch (const Error &) {
    Host.metrics().count("snapshot_failures_total");
  }
}

} // namespace goldcrestnotch

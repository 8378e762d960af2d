/// @file
/// The catalog plug-in.

#include "goldcrestnotch/catalog/service.hpp"

#include "goldcrestnotch/ledger/service.hpp"
#include "goldcrestnotch/membership/membership.hpp"

namespace goldcrestnotch {

namespace internal {

static constexpr Millis TickEvery{50};
static constexpr Millis OtherVmWait{2'000};
static constexpr Millis CarryAgain{2'000};
static const RegisterPlugin<CatalogService> Registered{Stage::State, "catalog"};

static void applyConfig(Catalog &Target, const LogRecord &One) {
  Target.apply(One.Offset, One.When, decodeConfig(One.Body));
}

} // namespace internal

CatalogService::CatalogService(Kernel &Host)
    : Host{Host}, Source{Host.control(), LogClient{Host.settings().Platform},
                         "config", internal::applyConfig,
                         FollowerHooks{[this] { changed(); },
                                       [this](const LogRecord &) {
                                         this->Host.metrics().count(
                                             "log_records_bad_total");
                                       }}} {
  Host.emplace(*this);
}

void CatalogService::start() {
  SnapshotDeadline = DecisionClock::now() + Host.settings().SnapshotEvery;
  Source.start();
  boost::asio::spawn(Host.control(),
                     [this](boost::asio::yield_context Yield) { tick(Yield); });
}

void CatalogService::changed() {
  Ready = true;
  std::atomic_store(&Shared, std::shared_ptr<const Catalog>{
                                 std::make_shared<Catalog>(Source.fold())});
  Host.metrics().set("config_version",
                     static_cast<double>(catalog().version()));
  carryOver();
  for (const auto &Hook : Hooks) {
    Hook();
  }
  wake();
}

void CatalogService::wait(std::function<bool()> Condition, Instant Until,
                          std::function<void(bool)> Done) {
  Waiters.push_back({std::move(Condition), Until, std::move(Done)});
  wake();
}

void CatalogService::wake() {
  const auto Now = DecisionClock::now();
  for (auto It = Waiters.begin(); It != Waiters.end();) {
    const bool Holds = It->Condition();
    if (Holds || Now >= It->Deadline) {
      const auto Done = std::move(It->Done);
      It = Waiters.erase(It);
      Done(Holds);
    } else {
      ++It;
    }
  }
}

void CatalogService::tick(boost::asio::yield_context Yield) {
  boost::asio::steady_timer Timer{Host.control()};
  while (true) {
    Timer.expires_after(Waiters.empty() ? internal::TickEvery * 10
                                        : internal::TickEvery);
    Timer.async_wait(Yield);
    wake();
    carryOver();
    keepSnapshot(Yield);
  }
}

void CatalogService::carryOver() {
  if (!Host.service<LedgerService>().ready()) {
    return;
  }
  for (const auto *Entry : catalog().topUps()) {
    carryTopUps(*Entry);
  }
  for (const auto &[Name, One] : catalog().targets()) {
    carryCapacity(One);
  }
}

bool CatalogService::due(const std::string &Key) {
  const auto Now = DecisionClock::now();
  const bool Home =
      Host.service<Membership>().view().home(Key) == Host.self().Vm;
  const auto First = Now + (Home ? Millis{0} : internal::OtherVmWait);
  const auto It = CarryDeadlines.try_emplace(Key, First).first;
  if (Now < It->second) {
    return false;
  }
  It->second = Now + internal::CarryAgain;
  return true;
}

void CatalogService::carryTopUps(const PlanEntry &Entry) {
  std::size_t Index = 0;
  for (const auto &One : Entry.Stated.Changes) {
    const auto *Added = std::get_if<BudgetTopUp>(&One);
    const PlanId Part{Entry.Stated.Name.str() + "#" + std::to_string(Index++)};
    if (Added == nullptr) {
      continue;
    }
    const auto Pool = budgetPool(Added->Name);
    auto &Shard = Host.service<LedgerService>().shard(Pool);
    if (Shard.state().contains(Part)) {
      CarryDeadlines.erase(Part.str());
    } else if (due(Part.str())) {
      Shard.emplace(TopUp{Pool, Part, Added->Amount});
    }
  }
}

void CatalogService::carryCapacity(const Target &One) {
  const auto Pool = slotPool(One.Name);
  auto &Shard = Host.service<LedgerService>().shard(Pool);
  const auto *Found = Shard.state().find(Pool);
  const auto Version = catalog().touched("target:" + One.Name.str());
  const auto Key = Pool.str() + "@" + std::to_string(Version);
  if (Found != nullptr && Found->Version >= Version) {
    CarryDeadlines.erase(Key);
  } else if (due(Key)) {
    Shard.emplace(Capacity{Pool, Version, Tokens{One.Capacity}});
  }
}

void CatalogService::keepSnapshot(boost::asio::yield_context Yield) {
  const auto Now = DecisionClock::now();
  if (Now < SnapshotDeadline) {
    return;
  }
  SnapshotDeadline = Now + Host.settings().SnapshotEvery;
  const auto &View = Host.service<Membership>().view();
  if (!Source.ready() || View.home("snapshot/config") != Host.self().Vm) {
    return;
  }
  try {
    Source.snapshot(Yield);
    Host.metrics().count("snapshots_total");
  } catch (const Error &) {
    Host.metrics().count("snapshot_failures_total");
  }
}

} // namespace goldcrestnotch

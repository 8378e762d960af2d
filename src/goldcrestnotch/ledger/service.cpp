/// @file
/// The ledger plug-in: appends, follows, and wakes requests that wait.

#include "goldcrestnotch/ledger/service.hpp"

#include "goldcrestnotch/config/limits.hpp"
#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/membership/membership.hpp"

namespace goldcrestnotch {

namespace asio = boost::asio;

namespace internal {

static constexpr Millis AppendLimit{3'000};
static constexpr Millis FirstBackoff{100};
static constexpr std::uint32_t MostDoublings = 4;
static constexpr Millis TickEvery{100};
static constexpr Millis SnapshotPoll{1'000};
static constexpr int ExitSuperseded = 3;
static constexpr std::string_view BudgetPrefix = "budget/";
static constexpr std::string_view SlotPrefix = "slots/";

static const RegisterPlugin<LedgerService> Registered{Stage::State, "ledger"};

static void applyBatch(LedgerState &Target, const LogRecord &One) {
  Target.apply(One.Offset, One.When, decodeBatch(One.Body));
}

} // namespace internal

PoolId budgetPool(const WorkspaceId &Name) {
  return PoolId{std::string{internal::BudgetPrefix} + Name.str()};
}

PoolId slotPool(const TargetId &Name) {
  return PoolId{std::string{internal::SlotPrefix} + Name.str()};
}

WorkspaceId workspaceOf(const PoolId &Name) {
  return Name.str().starts_with(internal::BudgetPrefix)
             ? WorkspaceId{Name.str().substr(internal::BudgetPrefix.size())}
             : WorkspaceId{};
}

std::uint32_t shardOf(const PoolId &Name) {
  return static_cast<std::uint32_t>(hashOf(Name.str()) % config::LedgerShards);
}

LedgerShard::LedgerShard(Kernel &Host, std::uint32_t Index)
    : Host{Host}, Log{Host.settings().Platform},
      Out{Host.self(), Host.settings().AppendSpacing},
      Budgets{Out, GrantHolderSettings{.Wait = Host.settings().GrantWait}, {}},
      Slots{Out, GrantHolderSettings{.Wait = Host.settings().SlotWait}, {}},
      Claims{Out, Host.settings().GrantWait},
      Source{Host.control(), Log, "ledger." + std::to_string(Index),
             internal::applyBatch,
             FollowerHooks{[this] { poll(); },
                           [this](const LogRecord &) {
                             this->Host.metrics().count(
                                 "log_records_bad_total");
                           }}},
      Wake{Host.control()} {}

Tokens LedgerShard::availableSlots(const PoolId &Name) const {
  return Slots.available(state(), Name);
}

Tokens LedgerShard::reservedSlots(const PoolId &Name) const {
  return Slots.reserved(Name);
}

void LedgerShard::start() {
  Source.start();
  asio::spawn(Host.control(),
              [this](asio::yield_context Yield) { append(Yield); });
  asio::spawn(Host.control(),
              [this](asio::yield_context Yield) { tick(Yield); });
}

void LedgerShard::append(asio::yield_context Yield) {
  while (true) {
    const auto Next = Out.poll(DecisionClock::now());
    if (Next) {
      sendBatch(Yield, *Next);
      continue;
    }
    const auto Left = Out.deadline() == Instant::max()
                          ? internal::TickEvery * 10
                          : Out.deadline() - DecisionClock::now();
    boost::system::error_code Ignored;
    Wake.expires_after(std::max(Left, Millis{1}));
    Wake.async_wait(Yield[Ignored]);
  }
}

void LedgerShard::sendBatch(asio::yield_context Yield, const Batch &Next) {
  const auto Begun = DecisionClock::now();
  try {
    (void)Log.append(Yield, Source.stream(), encode(Next),
                     Begun + internal::AppendLimit);
    Failures = 0;
    Out.acknowledge(Next.Sequence);
    Host.metrics().count("log_appends_total");
  } catch (const Error &Failure) {
    Host.metrics().count("log_append_failures_total");
    const auto Doublings = std::min(Failures, internal::MostDoublings);
    ++Failures;
    Out.fail(DecisionClock::now(), internal::FirstBackoff * (1 << Doublings));
    log(LogLevel::Debug, "log.append_failed", {{"cause", Failure.what()}});
  }
}

void LedgerShard::tick(asio::yield_context Yield) {
  asio::steady_timer Timer{Host.control()};
  while (true) {
    Timer.expires_after(internal::TickEvery);
    Timer.async_wait(Yield);
    if (!Waiting.empty() || !ClaimsWaiting.empty() || Out.size() > 0) {
      poll();
    }
  }
}

void LedgerShard::poll() {
  const auto Now = DecisionClock::now();
  if (state().retired(Host.self()) && !Superseded) {
    Superseded = true;
    log(LogLevel::Error, "vm.superseded",
        {{"holder", Host.self().str()}, {"stream", Source.stream()}});
    Host.stop(internal::ExitSuperseded);
  }
  tell(Budgets.poll(Now, state()));
  tell(Slots.poll(Now, state()));
  tell(Claims.poll(Now, state()));
  kick();
  for (const auto &Hook : Hooks) {
    Hook();
  }
}

void LedgerShard::tell(const std::vector<Decision> &Some) {
  for (const auto &One : Some) {
    const auto Ticket = std::visit([](const auto &D) { return D.Ticket; }, One);
    auto Found = Waiting.extract(Ticket);
    if (!Found.empty()) {
      Found.mapped()(One);
    }
  }
}

void LedgerShard::tell(const std::vector<ClaimDecision> &Some) {
  for (const auto &One : Some) {
    const auto Ticket = std::visit([](const auto &D) { return D.Ticket; }, One);
    auto Found = ClaimsWaiting.extract(Ticket);
    if (!Found.empty()) {
      Found.mapped()(One);
    }
  }
}

void LedgerShard::kick() {
  if (Out.deadline() != Instant::max()) {
    Wake.cancel();
  }
}

void LedgerShard::admit(const PoolId &Name, Tokens Bound, Decided Done) {
  const auto Ticket = ++LastTicket;
  Waiting.emplace(Ticket, std::move(Done));
  tell(Budgets.request(DecisionClock::now(), state(), Ticket, Name, Bound));
  kick();
}

void LedgerShard::settle(const PoolId &Name, Tokens Bound, Tokens Spent,
                         const RequestId &Request, bool Keyed) {
  const auto Now = DecisionClock::now();
  Budgets.settle(Now, Name, Bound, Spent, Request, Keyed);
  tell(Budgets.poll(Now, state()));
  kick();
}

void LedgerShard::prefetchSlots(const PoolId &Name) {
  Slots.open(Name);
  tell(Slots.poll(DecisionClock::now(), state()));
  kick();
}

void LedgerShard::reserveSlot(const PoolId &Name, Decided Done) {
  const auto Ticket = ++LastTicket;
  Waiting.emplace(Ticket, std::move(Done));
  tell(Slots.request(DecisionClock::now(), state(), Ticket, Name, Tokens{1}));
  kick();
}

void LedgerShard::releaseSlot(const PoolId &Name) {
  const auto Now = DecisionClock::now();
  Slots.settle(Now, Name, Tokens{1}, Tokens{}, RequestId{}, false);
  tell(Slots.poll(Now, state()));
  kick();
}

void LedgerShard::claim(const RequestId &Key, Claimed Done) {
  const auto Ticket = ++LastTicket;
  ClaimsWaiting.emplace(Ticket, std::move(Done));
  tell(Claims.request(DecisionClock::now(), state(), Ticket, Key));
  kick();
}

void LedgerShard::endClaim(Outcome What) {
  Claims.end(std::move(What));
  kick();
}

void LedgerShard::releaseClaim(const RequestId &Key) {
  Claims.release(Key);
  kick();
}

void LedgerShard::emplace(Item What) {
  Out.emplace(std::move(What));
  kick();
}

void LedgerShard::surrender() {
  Budgets.surrender(state());
  Slots.surrender(state());
  Out.hurry();
  kick();
}

void LedgerShard::snapshot(asio::yield_context Yield) {
  Source.snapshot(Yield);
}

LedgerService::LedgerService(Kernel &Host) : Host{Host} {
  for (std::uint32_t I = 0; I < config::LedgerShards; ++I) {
    Shards.push_back(std::make_unique<LedgerShard>(Host, I));
  }
  Host.emplace(*this);
}

LedgerShard &LedgerService::shard(const PoolId &Name) {
  return *Shards[shardOf(Name)];
}

bool LedgerService::ready() const {
  return std::all_of(Shards.begin(), Shards.end(),
                     [](const auto &One) { return One->ready(); });
}

bool LedgerService::connected() const {
  return std::all_of(Shards.begin(), Shards.end(),
                     [](const auto &One) { return One->connected(); });
}

void LedgerService::start() {
  for (const auto &One : Shards) {
    One->start();
  }
  asio::spawn(Host.control(),
              [this](asio::yield_context Yield) { keepSnapshots(Yield); });
}

void LedgerService::keepSnapshots(asio::yield_context Yield) {
  asio::steady_timer Timer{Host.control()};
  auto Due = DecisionClock::now() + Host.settings().SnapshotEvery;
  while (true) {
    Timer.expires_after(internal::SnapshotPoll);
    Timer.async_wait(Yield);
    if (DecisionClock::now() < Due) {
      continue;
    }
    Due = DecisionClock::now() + Host.settings().SnapshotEvery;
    auto &View = Host.service<Membership>().view();
    for (std::size_t I = 0; I < Shards.size(); ++I) {
      const auto Key = "snapshot/ledger." + std::to_string(I);
      if (View.home(Key) != Host.self().Vm || !Shards[I]->ready()) {
        continue;
      }
      try {
        Shards[I]->snapshot(Yield);
        Host.metrics().count("snapshots_total");
      } catch (const Error &) {
        Host.metrics().count("snapshot_failures_total");
      }
    }
  }
}

void LedgerService::drain() {}

bool LedgerService::drained() {
  if (!Surrendered) {
    Surrendered = true;
    for (const auto &One : Shards) {
      One->surrender();
    }
  }
  return std::all_of(Shards.begin(), Shards.end(),
                     [](const auto &One) { return One->flushed(); });
}

} // namespace goldcrestnotch

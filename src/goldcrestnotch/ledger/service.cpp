/// @file
/// The ledger plug-in: appends batches, follows the ledger streams, and
/// delivers decisions to waiting requests.

#include "goldcrestnotch/ledger/service.hpp"

#include "goldcrestnotch/config/limits.hpp"
#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/membership/membership.hpp"

namespace goldcrestnotch {

namespace asio = boost::asio;

namespace internal {

static constexpr Millis AppendTimeout{3'000};
static constexpr Millis InitialBackoff{100};
static constexpr std::uint32_t MaxBackoffDoublings = 4;
static constexpr Millis TickInterval{100};
static constexpr Millis SnapshotCheckInterval{1'000};
static constexpr int ExitSuperseded = 3;
static constexpr std::string_view BudgetPrefix = "budget/";
static constexpr std::string_view SlotPrefix = "slots/";

static const RegisterPlugin<LedgerService> Registered{Stage::State, "ledger"};

static void applyBatch(LedgerState &State, const LogRecord &Record) {
  State.apply(Record.Offset, Record.When, decodeBatch(Record.Body));
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
      Out{Host.self(), Host.settings().MinAppendInterval},
      Budgets{Out,
              GrantHolderSettings{.GrantTimeout = Host.settings().GrantTimeout},
              {}},
      Slots{Out,
            GrantHolderSettings{.GrantTimeout = Host.settings().SlotTimeout},
            {}},
      Claims{Out, Host.settings().GrantTimeout},
      StateFollower{Host.control(), Log, "ledger." + std::to_string(Index),
                    internal::applyBatch,
                    FollowerCallbacks{[this] { poll(); },
                                      [this](const LogRecord &) {
                                        this->Host.metrics().count(
                                            "log_records_bad_total");
                                      }}},
      WakeTimer{Host.control()} {}

Tokens LedgerShard::availableSlots(const PoolId &Name) const {
  return Slots.available(state(), Name);
}

Tokens LedgerShard::reservedSlots(const PoolId &Name) const {
  return Slots.reserved(Name);
}

void LedgerShard::start() {
  StateFollower.start();
  asio::spawn(Host.control(),
              [this](asio::yield_context Yield) { append(Yield); });
  asio::spawn(Host.control(),
              [this](asio::yield_context Yield) { tick(Yield); });
}

void LedgerShard::append(asio::yield_context Yield) {
  while (true) {
    const auto NextBatch = Out.poll(DecisionClock::now());
    if (NextBatch) {
      sendBatch(Yield, *NextBatch);
      continue;
    }
    const auto Remaining = Out.deadline() == Instant::max()
                               ? internal::TickInterval * 10
                               : Out.deadline() - DecisionClock::now();
    boost::system::error_code Ignored;
    WakeTimer.expires_after(std::max(Remaining, Millis{1}));
    WakeTimer.async_wait(Yield[Ignored]);
  }
}

void LedgerShard::sendBatch(asio::yield_context Yield, const Batch &Record) {
  const auto Start = DecisionClock::now();
  try {
    (void)Log.append(Yield, StateFollower.stream(), encode(Record),
                     Start + internal::AppendTimeout);
    Failures = 0;
    Out.acknowledge(Record.Sequence);
    Host.metrics().count("log_appends_total");
  } catch (const Error &Failure) {
    Host.metrics().count("log_append_failures_total");
    const auto Doublings = std::min(Failures, internal::MaxBackoffDoublings);
    ++Failures;
    Out.fail(DecisionClock::now(), internal::InitialBackoff * (1 << Doublings));
    log(LogLevel::Debug, "log.append_failed", {{"cause", Failure.what()}});
  }
}

void LedgerShard::tick(asio::yield_context Yield) {
  asio::steady_timer Timer{Host.control()};
  while (true) {
    Timer.expires_after(internal::TickInterval);
    Timer.async_wait(Yield);
    if (!DecisionHandlers.empty() || !ClaimHandlers.empty() || Out.size() > 0) {
      poll();
    }
  }
}

void LedgerShard::poll() {
  const auto Now = DecisionClock::now();
  if (state().retired(Host.self()) && !Superseded) {
    Superseded = true;
    log(LogLevel::Error, "vm.superseded",
        {{"holder", Host.self().str()}, {"stream", StateFollower.stream()}});
    Host.stop(internal::ExitSuperseded);
  }
  deliver(Budgets.poll(Now, state()));
  deliver(Slots.poll(Now, state()));
  deliver(Claims.poll(Now, state()));
  wakeAppender();
  for (const auto &Hook : ChangeHooks) {
    Hook();
  }
}

void LedgerShard::deliver(const std::vector<Decision> &Decisions) {
  for (const auto &Decided : Decisions) {
    const auto Ticket =
        std::visit([](const auto &Kind) { return Kind.Ticket; }, Decided);
    auto Node = DecisionHandlers.extract(Ticket);
    if (!Node.empty()) {
      Node.mapped()(Decided);
    }
  }
}

void LedgerShard::deliver(const std::vector<ClaimDecision> &Decisions) {
  for (const auto &Decided : Decisions) {
    const auto Ticket =
        std::visit([](const auto &Kind) { return Kind.Ticket; }, Decided);
    auto Node = ClaimHandlers.extract(Ticket);
    if (!Node.empty()) {
      Node.mapped()(Decided);
    }
  }
}

void LedgerShard::wakeAppender() {
  if (Out.deadline() != Instant::max()) {
    WakeTimer.cancel();
  }
}

void LedgerShard::admit(const PoolId &Name, Tokens Bound, PoolCreation Creation,
                        DecisionHandler Handler) {
  const auto Ticket = ++LastTicket;
  DecisionHandlers.emplace(Ticket, std::move(Handler));
  deliver(Budgets.request(DecisionClock::now(), state(), Ticket, Name, Bound,
                          Creation));
  wakeAppender();
}

void LedgerShard::settle(const PoolId &Name, Tokens Bound, Tokens Spent,
                         const RequestId &Request, bool Keyed) {
  const auto Now = DecisionClock::now();
  Budgets.settle(Now, Name, Bound, Spent, Request, Keyed);
  deliver(Budgets.poll(Now, state()));
  wakeAppender();
}

void LedgerShard::prefetchSlots(const PoolId &Name) {
  Slots.track(Name);
  deliver(Slots.poll(DecisionClock::now(), state()));
  wakeAppender();
}

void LedgerShard::reserveSlot(const PoolId &Name, DecisionHandler Handler) {
  const auto Ticket = ++LastTicket;
  DecisionHandlers.emplace(Ticket, std::move(Handler));
  // A VM may know of a target before the ledger contains its capacity.
  deliver(Slots.request(DecisionClock::now(), state(), Ticket, Name, Tokens{1},
                        PoolCreation::Pending));
  wakeAppender();
}

void LedgerShard::releaseSlot(const PoolId &Name) {
  const auto Now = DecisionClock::now();
  Slots.settle(Now, Name, Tokens{1}, Tokens{}, RequestId{}, false);
  deliver(Slots.poll(Now, state()));
  wakeAppender();
}

void LedgerShard::claim(const RequestId &Key, ClaimHandler Handler) {
  const auto Ticket = ++LastTicket;
  ClaimHandlers.emplace(Ticket, std::move(Handler));
  deliver(Claims.request(DecisionClock::now(), state(), Ticket, Key));
  wakeAppender();
}

void LedgerShard::endClaim(Outcome Result) {
  Claims.end(std::move(Result));
  wakeAppender();
}

void LedgerShard::releaseClaim(const RequestId &Key) {
  Claims.release(Key);
  wakeAppender();
}

void LedgerShard::emplace(Item Entry) {
  Out.emplace(std::move(Entry));
  wakeAppender();
}

void LedgerShard::returnUnused() {
  Budgets.returnUnused(state());
  Slots.returnUnused(state());
  Out.expedite();
  wakeAppender();
}

void LedgerShard::snapshot(asio::yield_context Yield) {
  StateFollower.snapshot(Yield);
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
                     [](const auto &Shard) { return Shard->ready(); });
}

bool LedgerService::connected() const {
  return std::all_of(Shards.begin(), Shards.end(),
                     [](const auto &Shard) { return Shard->connected(); });
}

void LedgerService::start() {
  for (const auto &Shard : Shards) {
    Shard->start();
  }
  asio::spawn(Host.control(),
              [this](asio::yield_context Yield) { writeSnapshots(Yield); });
}

void LedgerService::writeSnapshots(asio::yield_context Yield) {
  asio::steady_timer Timer{Host.control()};
  auto SnapshotDeadline =
      DecisionClock::now() + Host.settings().SnapshotInterval;
  while (true) {
    Timer.expires_after(internal::SnapshotCheckInterval);
    Timer.async_wait(Yield);
    if (DecisionClock::now() < SnapshotDeadline) {
      continue;
    }
    SnapshotDeadline = DecisionClock::now() + Host.settings().SnapshotInterval;
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
  if (!ReturnedUnused) {
    ReturnedUnused = true;
    for (const auto &Shard : Shards) {
      Shard->returnUnused();
    }
  }
  return std::all_of(Shards.begin(), Shards.end(),
                     [](const auto &Shard) { return Shard->flushed(); });
}

} // namespace goldcrestnotch

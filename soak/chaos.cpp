/// @file
/// The faults.

#include "chaos.hpp"

#include <csignal>
#include <stdexcept>
#include <thread>

namespace soak {

using platform_test::UsersReplica;
using standin::FaultyLink;

namespace {

constexpr std::chrono::milliseconds Step{20};
/// A shutdown ends within the grace time of the fleet's settings, 4 s.
constexpr int GraceMs = 5'000;

} // namespace

Chaos::Chaos(platform_test::Fleet &All, Watch &Seen, int Vms,
             std::int64_t Prepaid, std::uint64_t Seed,
             const std::vector<std::string> &Kinds)
    : All{All}, Seen{Seen}, Held(static_cast<std::size_t>(Vms)),
      ReplicaHeld(static_cast<std::size_t>(All.engines())), Prepaid{Prepaid},
      Random{Seed} {
  for (const auto &Name : Kinds.empty() ? kinds() : Kinds) {
    const auto It = faults().find(Name);
    if (It == faults().end()) {
      throw std::invalid_argument("unknown kind of fault: " + Name);
    }
    Chosen.push_back(It->second);
  }
}

const std::map<std::string, Chaos::Fault> &Chaos::faults() {
  static const std::map<std::string, Fault> All{
      {"kill", &Chaos::kill},
      {"terminate", &Chaos::terminate},
      {"pause", &Chaos::pause},
      {"store-down", &Chaos::storeDown},
      {"store-loses-answers", &Chaos::storeLosesAnswers},
      {"store-link", &Chaos::storeLink},
      {"replica-mood", &Chaos::replicaMood},
      {"replica-link", &Chaos::replicaLink},
      {"replica-leaves", &Chaos::replicaLeaves},
      {"unchanged-version", &Chaos::unchangedVersion},
      {"version", &Chaos::newVersion}};
  return All;
}

std::vector<std::string> Chaos::kinds() {
  std::vector<std::string> Result;
  for (const auto &[Name, Make] : faults()) {
    Result.push_back(Name);
  }
  return Result;
}

void Chaos::run(Clock::time_point Until) {
  auto Next = Clock::now();
  while (Clock::now() < Until) {
    const auto Now = Clock::now();
    undoDue(Now);
    if (Now >= Next) {
      (this->*Chosen[static_cast<std::size_t>(
                  between(0, static_cast<int>(Chosen.size()) - 1))])();
      Next = Now + std::chrono::milliseconds{between(30, 900)};
    }
    std::this_thread::sleep_for(Step);
  }
  while (!Undos.empty()) {
    undoDue(Undos.begin()->first);
  }
  note("all faults ended");
}

void Chaos::kill() {
  const int Vm = take("kill");
  if (Vm < 0) {
    return;
  }
  All.daemon(Vm).signal(SIGKILL);
  later(50, 1'500, [this, Vm] { restart(Vm); });
}

void Chaos::terminate() {
  const int Vm = take("terminate");
  if (Vm < 0) {
    return;
  }
  All.daemon(Vm).signal(SIGTERM);
  later(GraceMs, GraceMs + 500, [this, Vm] {
    if (!All.daemon(Vm).wait(0)) {
      Seen.broken("vm-" + std::to_string(Vm) + " outlived its grace time");
      All.daemon(Vm).signal(SIGKILL);
    }
    restart(Vm);
  });
}

void Chaos::pause() {
  const int Vm = take("pause");
  if (Vm < 0) {
    return;
  }
  All.daemon(Vm).signal(SIGSTOP);
  later(100, 4'000, [this, Vm] {
    All.daemon(Vm).signal(SIGCONT);
    note("wake vm-" + std::to_string(Vm));
    Held[static_cast<std::size_t>(Vm)] = false;
  });
}

void Chaos::storeDown() {
  note("store down");
  All.Store.Down = true;
  later(200, 5'000, [this] { All.Store.Down = false; });
}

void Chaos::storeLosesAnswers() {
  note("store loses answers");
  All.Store.LoseAnswers = true;
  later(200, 3'000, [this] { All.Store.LoseAnswers = false; });
}

void Chaos::storeLink() { disturb(All.StoreWay, "the store", 4'000); }

void Chaos::replicaMood() {
  const int Number = between(0, All.engines() - 1);
  const int Mood = between(1, 5);
  note("replica " + std::to_string(Number) + " mood " + std::to_string(Mood));
  All.engine(Number).CurrentBehavior =
      static_cast<UsersReplica::Behavior>(Mood);
  later(200, 3'000, [this, Number] {
    All.engine(Number).CurrentBehavior = UsersReplica::Behavior::Normal;
  });
}

void Chaos::replicaLink() {
  const int Number = between(0, All.engines() - 1);
  disturb(All.way(Number), "replica " + std::to_string(Number), 2'000);
}

void Chaos::disturb(FaultyLink &Way, const std::string &To, int MostMs) {
  const int How = between(0, 4);
  note("link to " + To + ": " + std::to_string(How));
  if (How == 0) {
    Way.reset();
    return;
  }
  Way.CurrentMode = static_cast<FaultyLink::Mode>(How);
  later(200, MostMs, [&Way] { Way.CurrentMode = FaultyLink::Mode::Pass; });
}

void Chaos::replicaLeaves() {
  const auto Number = static_cast<std::size_t>(between(0, All.engines() - 1));
  if (ReplicaHeld[Number]) {
    return;
  }
  ReplicaHeld[Number] = true;
  auto &One = All.engine(static_cast<int>(Number));
  note("replica " + One.name() + " leaves");
  All.state(One, "draining");
  later(2'500, 4'000, [this, Number, &One] {
    All.state(One, "ready");
    ReplicaHeld[Number] = false;
  });
}

void Chaos::newVersion() {
  ++Version;
  note("version " + std::to_string(Version));
  All.publish(Version, Prepaid, {"key-1", "key-v" + std::to_string(Version)});
}

void Chaos::unchangedVersion() {
  ++Version;
  note("version " + std::to_string(Version) + ", written twice");
  All.publish(Version, Prepaid);
  All.publish(Version, Prepaid);
}

int Chaos::take(const std::string &Fault) {
  const int Vm = between(0, static_cast<int>(Held.size()) - 1);
  if (Held[static_cast<std::size_t>(Vm)]) {
    return -1;
  }
  Held[static_cast<std::size_t>(Vm)] = true;
  note(Fault + " vm-" + std::to_string(Vm));
  return Vm;
}

void Chaos::restart(int Vm) {
  note("start vm-" + std::to_string(Vm));
  All.start(Vm);
  Held[static_cast<std::size_t>(Vm)] = false;
}

void Chaos::later(int LeastMs, int MostMs, std::function<void()> Undo) {
  Undos.emplace(Clock::now() +
                    std::chrono::milliseconds{between(LeastMs, MostMs)},
                std::move(Undo));
}

void Chaos::undoDue(Clock::time_point Now) {
  while (!Undos.empty() && Undos.begin()->first <= Now) {
    std::this_thread::sleep_until(Undos.begin()->first);
    const auto Undo = std::move(Undos.begin()->second);
    Undos.erase(Undos.begin());
    Undo();
  }
}

void Chaos::note(const std::string &What) {
  const auto Ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - Begin);
  History += "  " + std::to_string(Ms.count()) + " ms: " + What + "\n";
}

int Chaos::between(int Least, int Most) {
  return std::uniform_int_distribution<int>{Least, Most}(Random);
}

} // namespace soak

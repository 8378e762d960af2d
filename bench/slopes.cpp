/// @file
/// Measures how the cost of each role grows, by driving the decision objects
/// and codecs directly: `bench_slopes [--csv]`. Each row is a straight line
/// through at least four sizes, with its largest error.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <new>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrestnotch/catalog/catalog.hpp"
#include "goldcrestnotch/ledger/grant_holder.hpp"
#include "goldcrestnotch/membership/membership_view.hpp"
#include "goldcrestnotch/peer/message.hpp"
#include "goldcrestnotch/placement/placer.hpp"
#include "goldcrestnotch/rollout/move_table.hpp"

namespace {

std::size_t HeapBytes = 0; ///< Asked for and not given back.

} // namespace

void *operator new(std::size_t Size) {
  auto *Block =
      static_cast<std::size_t *>(std::malloc(Size + sizeof(std::max_align_t)));
  if (Block == nullptr) {
    throw std::bad_alloc{};
  }
  *Block = Size;
  HeapBytes += Size;
  return reinterpret_cast<char *>(Block) + sizeof(std::max_align_t);
}

void operator delete(void *Pointer) noexcept {
  if (Pointer != nullptr) {
    auto *Block = reinterpret_cast<std::size_t *>(static_cast<char *>(Pointer) -
                                                  sizeof(std::max_align_t));
    HeapBytes -= *Block;
    std::free(Block);
  }
}

void operator delete(void *Pointer, std::size_t) noexcept {
  operator delete(Pointer);
}

namespace {

using namespace goldcrestnotch;

/// One measured point of a line.
struct Point {
  double Size = 0;
  double Value = 0;
};

struct Line {
  const char *Name;
  const char *SizeUnit;
  const char *ValueUnit;
  std::vector<Point> Points;
};

/// Least squares; `Error` is the largest distance as a part of the value at
/// the largest size.
struct Fit {
  double Base = 0;
  double Slope = 0;
  double Error = 0;
};

Fit fitOf(const std::vector<Point> &Points) {
  double X = 0;
  double Y = 0;
  double Xx = 0;
  double Xy = 0;
  const auto Count = static_cast<double>(Points.size());
  for (const auto &P : Points) {
    X += P.Size;
    Y += P.Value;
    Xx += P.Size * P.Size;
    Xy += P.Size * P.Value;
  }
  Fit Result;
  Result.Slope = (Count * Xy - X * Y) / (Count * Xx - X * X);
  Result.Base = (Y - Result.Slope * X) / Count;
  for (const auto &P : Points) {
    const double Off = std::abs(P.Value - Result.Base - Result.Slope * P.Size);
    Result.Error =
        std::max(Result.Error, Off / std::max(Points.back().Value, 1e-9));
  }
  return Result;
}

/// Microseconds of one call, the least of several rounds.
double microsOf(int Calls, const std::function<void()> &What) {
  static constexpr int Rounds = 5;
  double Least = 1e18;
  for (int R = 0; R < Rounds; ++R) {
    const auto Begun = std::chrono::steady_clock::now();
    for (int I = 0; I < Calls; ++I) {
      What();
    }
    const std::chrono::duration<double, std::micro> Took =
        std::chrono::steady_clock::now() - Begun;
    Least = std::min(Least, Took.count() / Calls);
  }
  return Least;
}

HolderId holderOf(std::size_t I) {
  return {VmId{"vm" + std::to_string(I)}, 1'796'353'220'766};
}

PoolId poolOf(std::size_t I) {
  return PoolId{"budget/workspace-" + std::to_string(I)};
}

RequestId requestOf(std::size_t I) {
  return RequestId{digestOf(std::to_string(I))};
}

/// A book of budgets, each with grants at a few holders.
LedgerState bookOf(std::size_t Budgets, std::size_t Holders) {
  LedgerState Result;
  std::uint64_t Offset = 0;
  std::vector<std::uint64_t> Sequences(Holders, 0);
  for (std::size_t H = 0; H < Holders; ++H) {
    Result.apply(Offset++, {}, Batch{holderOf(H), ++Sequences[H], {Join{}}});
  }
  for (std::size_t I = 0; I < Budgets; ++I) {
    Result.apply(Offset++, {},
                 Batch{holderOf(0),
                       ++Sequences[0],
                       {TopUp{poolOf(I), PlanId{"p" + std::to_string(I)},
                              Tokens{1'000'000}}}});
    for (std::size_t G = 0; G < 3; ++G) {
      const auto H = (I + G) % Holders;
      Result.apply(Offset++, {},
                   Batch{holderOf(H),
                         ++Sequences[H],
                         {Draw{poolOf(I), Tokens{1'000}, Tokens{1}}}});
    }
  }
  return Result;
}

Line bookMemory() {
  Line Result{"ledger fold: memory", "budgets", "bytes", {}};
  for (const std::size_t Size : {1'000, 3'000, 9'000, 18'000, 36'000}) {
    const auto Before = HeapBytes;
    const auto Built = bookOf(Size, 9);
    Result.Points.push_back(
        {static_cast<double>(Size), static_cast<double>(HeapBytes - Before)});
  }
  return Result;
}

Line bookSnapshot() {
  Line Result{"ledger snapshot: size", "budgets", "bytes", {}};
  for (const std::size_t Size : {1'000, 3'000, 9'000, 18'000, 36'000}) {
    Result.Points.push_back(
        {static_cast<double>(Size),
         static_cast<double>(bookOf(Size, 9).save().size())});
  }
  return Result;
}

Line bookLoad() {
  Line Result{"ledger snapshot: load", "budgets", "us", {}};
  for (const std::size_t Size : {1'000, 3'000, 9'000, 18'000}) {
    const auto Saved = bookOf(Size, 9).save();
    Result.Points.push_back({static_cast<double>(Size), microsOf(1, [&] {
                               (void)LedgerState::load(Saved);
                             })});
  }
  return Result;
}

Line bills() {
  Line Result{"bills in memory", "requests", "bytes", {}};
  for (const std::size_t Size : {10'000, 20'000, 40'000, 80'000}) {
    auto Target = bookOf(10, 2);
    auto Offset = Target.next();
    auto Sequence = Target.sequence(holderOf(0));
    const auto Before = HeapBytes;
    for (std::size_t I = 0; I < Size; ++I) {
      Target.apply(
          Offset++, {},
          Batch{holderOf(0),
                ++Sequence,
                {Bill{poolOf(0), requestOf(I), Tokens{0}, false, {}}}});
    }
    Result.Points.push_back(
        {static_cast<double>(Size), static_cast<double>(HeapBytes - Before)});
  }
  return Result;
}

Batch billsBatch(std::size_t Items) {
  Batch Result{holderOf(0), 7, {}};
  for (std::size_t I = 0; I < Items; ++I) {
    Result.Items.emplace_back(
        Bill{poolOf(I), requestOf(I), Tokens{512}, false, {}});
  }
  return Result;
}

Line batchBytes() {
  Line Result{"batch of bills: size", "bills", "bytes", {}};
  for (const std::size_t Size : {1, 8, 32, 128, 512}) {
    Result.Points.push_back(
        {static_cast<double>(Size),
         static_cast<double>(encode(billsBatch(Size)).size())});
  }
  return Result;
}

Line batchCost() {
  Line Result{"batch of bills: read and fold", "bills", "us", {}};
  for (const std::size_t Size : {1, 8, 32, 128, 512}) {
    auto Target = bookOf(600, 2);
    auto Sequence = Target.sequence(holderOf(0));
    const auto Text = encode(billsBatch(Size));
    Result.Points.push_back({static_cast<double>(Size), microsOf(20, [&] {
                               auto Record = decodeBatch(Text);
                               Record.Sequence = ++Sequence;
                               Target.apply(Target.next(), {}, Record);
                             })});
  }
  return Result;
}

Line holderPoll() {
  Line Result{"holder: one poll", "budgets in use", "us", {}};
  for (const std::size_t Size : {50, 200, 800, 3'200}) {
    const auto Source = bookOf(Size, 3);
    Outbox Out{holderOf(0), Millis{50}};
    GrantHolder<> Desk{Out};
    for (std::size_t I = 0; I < Size; ++I) {
      (void)Desk.request(Instant{}, Source, I, poolOf(I), Tokens{1});
    }
    Result.Points.push_back({static_cast<double>(Size), microsOf(5, [&] {
                               (void)Desk.poll(Instant{}, Source);
                             })});
  }
  return Result;
}

Catalog catalogOf(std::size_t Workspaces, std::size_t Targets) {
  Plan Stated{PlanId{"p"}, "op", 0, {}};
  for (std::size_t I = 0; I < Workspaces; ++I) {
    const auto Name = "workspace-" + std::to_string(I);
    Stated.Changes.emplace_back(Workspace{WorkspaceId{Name}, digestOf(Name)});
  }
  for (std::size_t I = 0; I < Targets; ++I) {
    Stated.Changes.emplace_back(
        Target{TargetId{"replica-" + std::to_string(I)},
               RouteId{"model-" + std::to_string(I % 21)}, VersionId{"v1"},
               http::Endpoint{"10.1.2.3", 8'000},
               DomainId{"d" + std::to_string(I % 9)}, 8, false, false});
  }
  Catalog Result;
  Result.apply(0, {}, Stated);
  Result.apply(1, {}, Confirmation{PlanId{"p"}, "op"});
  // The plan itself ages out of a catalog.
  Result.apply(2, LogTime{std::chrono::hours{72}},
               Plan{PlanId{"q"}, "op", 1, {}});
  return Result;
}

Line catalogMemory() {
  Line Result{"catalog: memory", "workspaces", "bytes", {}};
  for (const std::size_t Size : {1'500, 3'000, 6'000, 12'000}) {
    const auto Before = HeapBytes;
    const auto Built = catalogOf(Size, 0);
    Result.Points.push_back(
        {static_cast<double>(Size), static_cast<double>(HeapBytes - Before)});
  }
  return Result;
}

Line catalogTargets() {
  Line Result{"catalog: memory", "targets", "bytes", {}};
  for (const std::size_t Size : {300, 1'200, 2'400, 4'900}) {
    const auto Before = HeapBytes;
    const auto Built = catalogOf(0, Size);
    Result.Points.push_back(
        {static_cast<double>(Size), static_cast<double>(HeapBytes - Before)});
  }
  return Result;
}

Line catalogCopy() {
  Line Result{"catalog: copy for traffic", "workspaces", "us", {}};
  for (const std::size_t Size : {1'500, 3'000, 6'000, 12'000}) {
    const auto Built = catalogOf(Size, 0);
    std::vector<Catalog> Copies;
    Result.Points.push_back({static_cast<double>(Size),
                             microsOf(3, [&] { Copies.assign(1, Built); })});
  }
  return Result;
}

Line catalogBytes() {
  Line Result{"catalog: snapshot size", "workspaces", "bytes", {}};
  for (const std::size_t Size : {1'500, 3'000, 6'000, 12'000}) {
    Result.Points.push_back(
        {static_cast<double>(Size),
         static_cast<double>(catalogOf(Size, 0).save().size())});
  }
  return Result;
}

Line placing() {
  Line Result{"placement: one request", "targets", "us", {}};
  for (const std::size_t Size : {60, 240, 1'200, 4'900}) {
    const auto Source = catalogOf(0, Size);
    const Placer<> Choice{DomainId{"d1"}};
    const PlacementRequest Wanted{
        RouteId{"model-3"}, VersionId{"v1"}, "prefix", {}};
    Result.Points.push_back({static_cast<double>(Size), microsOf(20, [&] {
                               (void)Choice.rank(Instant{}, Source, Wanted,
                                                 [](const TargetId &) {
                                                   return TargetLoad{1, 1};
                                                 });
                             })});
  }
  return Result;
}

std::vector<VmEntry> vmsOf(std::size_t Count) {
  std::vector<VmEntry> Result;
  for (std::size_t I = 0; I < Count; ++I) {
    Result.push_back({VmId{"vm" + std::to_string(I)},
                      DomainId{"d" + std::to_string(I % 9)},
                      {"10.0.0.1", 8'000},
                      {"10.0.0.1", 8'001},
                      false});
  }
  return Result;
}

Line homes() {
  Line Result{"membership: home of a key", "VMs", "us", {}};
  for (const std::size_t Size : {9, 45, 180, 360}) {
    MembershipView Fleet;
    Fleet.update(Instant{}, vmsOf(Size));
    Result.Points.push_back({static_cast<double>(Size), microsOf(200, [&] {
                               (void)Fleet.home("sweep/vm1/1");
                             })});
  }
  return Result;
}

Line liveList() {
  Line Result{"live list: size", "VMs", "bytes", {}};
  for (const std::size_t Size : {9, 45, 180, 360}) {
    double Bytes = 0;
    for (const auto &One : vmsOf(Size)) {
      Bytes +=
          static_cast<double>(One.Name.str().size() + One.Domain.str().size() +
                              One.Entry.str().size() + One.Peer.str().size()) +
          52; // Names of fields and punctuation.
    }
    Result.Points.push_back({static_cast<double>(Size), Bytes});
  }
  return Result;
}

Line evidence() {
  Line Result{"move fold: one evidence", "VMs", "us", {}};
  for (const std::size_t Size : {9, 45, 180, 360}) {
    MoveTable Fold;
    const Move What{MoveId{"m"}, RouteId{"r"}, VersionId{"v1"}, VersionId{"v2"},
                    LogTime{std::chrono::hours{1}}};
    Fold.apply(0, {}, MoveBegin{What});
    std::uint64_t Count = 0;
    Result.Points.push_back({static_cast<double>(Size), microsOf(400, [&] {
                               ++Count;
                               Fold.apply(Fold.next(), {},
                                          Evidence{What.Name,
                                                   holderOf(Count % Size),
                                                   {Count, 0, 0},
                                                   {Count, 0, 0}});
                             })});
  }
  return Result;
}

void print(const Line &One, bool Csv) {
  const auto Found = fitOf(One.Points);
  if (Csv) {
    for (const auto &P : One.Points) {
      std::printf("\"%s\",%s,%.0f,%s,%.3f\n", One.Name, One.SizeUnit, P.Size,
                  One.ValueUnit, P.Value);
    }
    return;
  }
  std::printf("%-30s %12.3f + %10.4f %s/%s, error %.1f %%  (", One.Name,
              Found.Base, Found.Slope, One.ValueUnit, One.SizeUnit,
              100 * Found.Error);
  for (const auto &P : One.Points) {
    std::printf("%s%.0f: %.1f", &P == One.Points.data() ? "" : ", ", P.Size,
                P.Value);
  }
  std::printf(")\n");
}

} // namespace

int main(int Count, char **Words) {
  const bool Csv = Count > 1 && std::string_view{Words[1]} == "--csv";
  for (const auto Measure :
       {bookMemory, bookSnapshot, bookLoad, bills, batchBytes, batchCost,
        holderPoll, catalogMemory, catalogTargets, catalogCopy, catalogBytes,
        placing, homes, liveList, evidence}) {
    print(Measure(), Csv);
  }
  if (!Csv) {
    std::printf("%-30s %zu bytes\n", "peer digest: size",
                encode(PeerMessage{PeerDigest{1'000'000, 1'000'000}}).size());
    std::printf("%-30s %zu bytes\n", "evidence: size",
                encode(RolloutRecord{Evidence{MoveId{"move-1"},
                                              holderOf(1),
                                              {100'000, 100, 100},
                                              {100'000, 100, 100}}})
                    .size());
  }
  return 0;
}

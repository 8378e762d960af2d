/// @file
/// The set of targets known to a VM. Targets whose entries vanish from the
/// registry are kept for a short time, since the registry also loses entries of
/// running targets during an outage.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "goldcrestnotch/backend/target.hpp"

namespace goldcrestnotch::backend {

/// @brief How long a target whose registration vanished may still be used.
struct RemovalTimeouts {
  /// Applies while the registry is healthy. Short, because a target may also
  /// stop without announcing it.
  Millis Normal{600};
  /// Applies after a recent outage of the registry, which then forgets running
  /// targets; they register again within two seconds. Must not exceed the time
  /// for which a leaving target still serves, less the delay until the removal
  /// is noticed.
  Millis DuringOutage{1'500};
};

/// @brief Selects the versions that may serve a request.
struct VersionFilter {
  VersionId Version;    ///< Empty if every version is allowed.
  bool Include = false; ///< True: only `Version`; false: all others.
  /// Fraction of the version's targets that the request may go to, at least
  /// one. All VMs choose the same ones.
  double TargetShare = 1;

  [[nodiscard]] bool allows(const VersionId &Candidate) const noexcept {
    return Version.empty() || (Candidate == Version) == Include;
  }
};

/// @brief What a request requires of a target.
struct TargetRequest {
  ServiceId Service;
  std::string_view AffinityKey;        ///< Empty for no affinity.
  std::vector<TargetId> Excluded;      ///< Targets that were already tried.
  std::int64_t PromptTokens = 0;       ///< Zero for a request without a prompt.
  std::int64_t SharedPrefixTokens = 0; ///< Part of the prompt that other
                                       ///< requests share.
  VersionFilter Version{};
};

/// @brief Model of how fast engines read prompts, and its use in placement.
struct PrefillSettings {
  /// Initial estimate of the prompt tokens that an engine reads per
  /// millisecond; corrected by observation.
  double TokensPerMs = 60;
  /// Attention cost grows with the prompt: at this length, the mean time per
  /// token is twice that of a short prompt.
  double DoublingTokens = 60'000;
  /// The target with the affinity to a prompt is preferred while its extra
  /// waiting time is at most this many times the time to read the shared
  /// prefix.
  double AffinityFactor = 12;
  /// While an engine reads a prompt of this length, its other streams pause for
  /// longer than callers accept.
  std::int64_t LongPromptTokens = 24'000;
  /// Fraction of a service's targets that is reserved for long prompts. Other
  /// targets get long prompts only while the reserved ones are busy.
  double LongPromptTargetShare = 0.17;
};

/// @brief Targets indexed by name and by service. No I/O, no clock.
class TargetSet {
public:
  explicit TargetSet(DomainId OwnDomain, RemovalTimeouts Timeouts = {},
                     PrefillSettings Prefill = {})
      : OwnDomain{std::move(OwnDomain)}, Timeouts{Timeouts}, Prefill{Prefill} {}

  [[nodiscard]] std::size_t size() const noexcept { return Targets.size(); }
  /// @brief Finds a target by name.
  /// @return Null if the name is unknown.
  [[nodiscard]] std::shared_ptr<Target> find(const TargetId &Name) const;
  /// @brief Finds a target by the hash of its name.
  /// @return Null if the hash is unknown.
  [[nodiscard]] std::shared_ptr<Target> find(std::uint64_t NameHash) const;
  /// @brief The targets that state a rate limit.
  [[nodiscard]] std::vector<std::shared_ptr<Target>> limitedTargets() const;
  /// @brief Chooses a target for a request.
  /// @return Null if no target of the service is eligible.
  [[nodiscard]] std::shared_ptr<Target>
  pick(Instant Now, const TargetRequest &Request) const;

  /// @brief When the first target of a service that asked this VM for no
  /// requests may get one again.
  /// @return Nothing if none of them has asked.
  [[nodiscard]] std::optional<Instant>
  firstReturn(Instant Now, const ServiceId &Service) const;

  /// @brief The other target that was last registered at the address of a
  /// registration. It has ended unless its incarnation is newer.
  /// @return Null if there is none.
  [[nodiscard]] std::shared_ptr<Target>
  predecessor(const Registration &Update) const;
  /// @brief Inserts or updates a registration. Another target that was last
  /// registered at the same address with no newer incarnation has ended, and is
  /// removed at once. An entry that is older than the known one of the same run
  /// is ignored; a store that was restored from an older copy returns some.
  void apply(Registration Update);
  /// @brief Marks a target whose registration vanished for removal after a
  /// timeout.
  /// @param Outage Whether the registry was recently down or unreachable.
  void markMissing(Instant Now, const TargetId &Name, bool Outage);
  /// @brief Records that a run of a target accepts no new requests, whatever
  /// the registry says of it.
  /// @param NameHash `hashOf` the target's name.
  /// @return Whether that was not known of a target that is known.
  bool markLeaving(Instant Now, std::uint64_t NameHash,
                   std::uint64_t Incarnation);
  /// @brief Sends a run of a target no requests until an instant.
  /// @param NameHash `hashOf` the target's name.
  void pause(std::uint64_t NameHash, std::uint64_t Incarnation, Instant Until);
  /// @brief Replaces the timeouts.
  void update(RemovalTimeouts NewTimeouts) { Timeouts = NewTimeouts; }
  /// @brief Records that this VM or another one sent a prompt to a target.
  /// @param PromptTokens Number of tokens that the target has to read.
  void observePrompt(Instant Now, const TargetId &Name,
                     std::int64_t PromptTokens);
  /// @brief Records that a VM sent a prompt to a target.
  /// @param NameHash `hashOf` the target's name.
  /// @param PromptTokens Number of tokens that the target has to read.
  void observePrompt(Instant Now, std::uint64_t NameHash,
                     std::int64_t PromptTokens);
  /// @brief Some targets in random order, to find out whether this VM reaches
  /// any.
  /// @param Draw Returns a uniformly distributed number in [0, 1).
  [[nodiscard]] std::vector<std::shared_ptr<Target>>
  sample(Instant Now, std::size_t Count, const TargetId &Excluded,
         const std::function<double()> &Draw) const;
  /// @brief Forgets failures that were due to this VM's own links.
  void forgiveFailures();
  /// @brief Updates the estimated prefill speed from one prompt.
  void observePrefillTime(std::int64_t PromptTokens, Millis Duration);
  /// @brief Removes the missing targets whose timeout has passed.
  void expire(Instant Now);

private:
  using TargetList = std::vector<std::shared_ptr<Target>>;

  /// @brief Removes the target that was last registered at the address of a new
  /// registration, unless its incarnation is newer.
  void removePredecessor(const Registration &Update);
  /// @brief Whether an entry is older than the known one of the same run.
  [[nodiscard]] bool outdated(const Registration &Update) const;
  /// @brief Whether a target may get a request at all.
  [[nodiscard]] static bool eligible(Instant Now, const Target &Candidate,
                                     const TargetRequest &Request);
  /// @brief The eligible targets of a list, limited to the share of them that
  /// the request asks for.
  [[nodiscard]] TargetList shareOf(Instant Now, const TargetList &List,
                                   const TargetRequest &Request) const;
  /// @brief Whether a target is reserved for prompts of another length.
  [[nodiscard]] bool reservedForOthers(const Target &Candidate,
                                       const TargetRequest &Request) const;
  /// @brief Estimated cost of sending a request to a target, in milliseconds of
  /// waiting.
  [[nodiscard]] double cost(Instant Now, const Target &Candidate,
                            const TargetRequest &Request) const;
  /// @brief Reserves some targets of a service for long prompts. The choice is
  /// by hash of the name, so all VMs make the same one.
  void assignPromptKinds(const TargetList &List) const;

  DomainId OwnDomain;
  RemovalTimeouts Timeouts;
  PrefillSettings Prefill;
  std::map<TargetId, std::shared_ptr<Target>> Targets;
  std::map<std::uint64_t, TargetId> NamesByHash;
  /// Runs that are known to leave, by hash of the name and incarnation, and how
  /// long they are remembered: a registration may vanish and come back.
  std::map<std::pair<std::uint64_t, std::uint64_t>, Instant> LeavingRuns;
  /// Number of the last entry of each removed target, by incarnation and name.
  struct RemovedRun {
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
    Instant MemoryDeadline{}; ///< Remembered until then.
  };
  std::map<TargetId, RemovedRun> RemovedRuns;
  /// The target that registered last at each address.
  std::map<http::Endpoint, TargetId> NamesByEndpoint;
  std::map<ServiceId, TargetList> TargetsByService;
};

} // namespace goldcrestnotch::backend

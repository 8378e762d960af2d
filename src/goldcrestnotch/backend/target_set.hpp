/// @file
/// All targets that a VM knows. Entries that vanish from the registry are kept
/// for a short while, since the registry also loses entries of live targets
/// while it is out.

#pragma once

#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "goldcrestnotch/backend/target.hpp"

namespace goldcrestnotch::backend {

/// @brief How long a target that vanished may still be used.
struct RemovalTimeouts {
  /// After a removal in quiet times: targets leave without a word, too.
  Millis Normal{600};
  /// After a removal close to an outage of the registry, which forgets targets
  /// that live; they register again within two seconds. Never longer than a
  /// leaving target goes on serving, less the time to learn of the removal.
  Millis DuringOutage{1'500};
};

/// @brief Which versions may serve a request.
struct VersionFilter {
  VersionId Version;    ///< Empty if every version may.
  bool Include = false; ///< This one only, or all but this one.

  [[nodiscard]] bool allows(const VersionId &Candidate) const noexcept {
    return Version.empty() || (Candidate == Version) == Include;
  }
};

/// @brief What a request wants of a target.
struct TargetRequest {
  ServiceId Service;
  std::string_view AffinityKey;   ///< Empty for none.
  std::vector<TargetId> Excluded; ///< Were tried before.
  std::int64_t PromptTokens = 0;  ///< Prompt tokens, or zero.
  std::int64_t SharedPrefixTokens =
      0; ///< Of these, shared with other requests.
  VersionFilter Version{};
};

/// @brief How engines are taken to read prompts.
struct PrefillSettings {
  /// Tokens that an engine reads in a millisecond, until that is learnt.
  double TokensPerMs = 60;
  /// Attention grows with the prompt: one of so many tokens takes twice as
  /// long for a token.
  double DoublingTokens = 60'000;
  /// A target that holds the shared part of a prompt is preferred though it
  /// is busy for this many times what reading that part takes.
  double AffinityFactor = 12;
  /// While an engine reads a prompt of so many tokens, its other streams pause
  /// for longer than callers accept.
  std::int64_t LongPromptTokens = 24'000;
  /// Part of a service's targets that read such prompts, and others only when
  /// the rest is busy.
  double LongPromptTargetShare = 0.17;
};

/// @brief The targets by name and service. No I/O, no clock.
class TargetSet {
public:
  explicit TargetSet(DomainId Own, RemovalTimeouts Times = {},
                     PrefillSettings Prefill = {})
      : Own{std::move(Own)}, Times{Times}, Prefill{Prefill} {}

  [[nodiscard]] std::size_t size() const noexcept { return Targets.size(); }
  [[nodiscard]] std::shared_ptr<Target> find(const TargetId &Name) const;
  /// @brief Chooses a target for a request.
  /// @return Null if the service has none that takes work.
  [[nodiscard]] std::shared_ptr<Target> pick(Instant Now,
                                             const TargetRequest &Wanted) const;

  /// @brief Takes a registration in. Whatever else stood at its address with
  /// an earlier start has ended and is dropped at once.
  void apply(Registration Told);
  /// @brief A registration is gone.
  /// @param Outage Whether the registry was lately out or unreachable.
  void markMissing(Instant Now, const TargetId &Name, bool Outage);
  /// @brief The times have changed.
  void update(RemovalTimeouts Given) { Times = Given; }
  /// @brief A prompt goes to a target, from this VM or another one.
  /// @param Size Tokens that the target has to read.
  void observePrompt(Instant Now, const TargetId &Name, std::int64_t Size);
  /// @param NameHash `hashOf` the target's name.
  void observePrompt(Instant Now, std::uint64_t NameHash, std::int64_t Size);
  /// @brief A prompt was read: how fast engines are.
  void observePrefillTime(std::int64_t Size, Millis Took);
  /// @brief Drops for good what vanished long enough ago.
  void expire(Instant Now);

private:
  using Row = std::vector<std::shared_ptr<Target>>;

  void dropPredecessor(const Registration &Told);
  [[nodiscard]] static bool usable(const Target &One,
                                   const TargetRequest &Wanted);
  /// @brief Whether a target is kept for prompts of another length.
  [[nodiscard]] bool apart(const Target &One,
                           const TargetRequest &Wanted) const;
  [[nodiscard]] double cost(Instant Now, const Target &One,
                            const TargetRequest &Wanted) const;
  /// @brief Marks which targets of a service read long prompts; all VMs find
  /// the same ones.
  void divide(const Row &Served) const;

  DomainId Own;
  RemovalTimeouts Times;
  PrefillSettings Prefill;
  std::map<TargetId, std::shared_ptr<Target>> Targets;
  std::map<std::uint64_t, TargetId> Hashes;  ///< Names by their hash.
  std::map<http::Endpoint, TargetId> Places; ///< The last at each address.
  std::map<ServiceId, Row> Rows;             ///< The same targets by service.
};

} // namespace goldcrestnotch::backend

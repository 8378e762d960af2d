/// @file
/// All targets that a VM knows. Entries that vanish from the registry are kept
/// for a short while, since the registry also loses entries of live targets
/// while it is out.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "goldcrestnotch/backend/target.hpp"

namespace goldcrestnotch::backend {

/// @brief How long a target that vanished may still be used.
struct VanishTimes {
  /// After a removal in quiet times: targets leave without a word, too.
  Millis Quiet{600};
  /// After a removal close to an outage of the registry, which forgets targets
  /// that live; they register again within two seconds. Never longer than a
  /// leaving target goes on serving, less the time to learn of the removal.
  Millis Outage{1'500};
};

/// @brief What a request wants of a target.
struct Wish {
  ServiceId Service;
  std::string_view Affinity;      ///< Empty for none.
  std::vector<TargetId> Excluded; ///< Were tried before.
  std::int64_t Size = 0;          ///< Tokens at most, or zero.
};

/// @brief The targets by name and service. No I/O, no clock.
class TargetSet {
public:
  explicit TargetSet(DomainId Own, VanishTimes Times = {})
      : Own{std::move(Own)}, Times{Times} {}

  [[nodiscard]] std::size_t size() const noexcept { return Targets.size(); }
  [[nodiscard]] std::shared_ptr<Target> find(const TargetId &Name) const;
  /// @brief Chooses a target for a request.
  /// @return Null if the service has none that takes work.
  [[nodiscard]] std::shared_ptr<Target> pick(Instant Now,
                                             const Wish &Wanted) const;
  /// @brief Requests of this VM in progress at a service.
  [[nodiscard]] std::int64_t inProgress(const ServiceId &Name) const;

  /// @brief Takes a registration in.
  void emplace(Registration Told);
  /// @brief A registration is gone.
  /// @param Outage Whether the registry was lately out or unreachable.
  void erase(Instant Now, const TargetId &Name, bool Outage);
  /// @brief The times have changed.
  void update(VanishTimes Given) { Times = Given; }
  /// @brief Drops for good what vanished long enough ago.
  void expire(Instant Now);
  /// @brief Forgets all registrations not in a list of names, as if erased.
  void keepOnly(Instant Now, const std::function<bool(const TargetId &)> &Keep,
                bool Outage);

private:
  using Row = std::vector<std::shared_ptr<Target>>;

  [[nodiscard]] static bool usable(const Target &One, const Wish &Wanted);
  [[nodiscard]] double cost(Instant Now, const Target &One) const;

  DomainId Own;
  VanishTimes Times;
  std::map<TargetId, std::shared_ptr<Target>> Targets;
  std::map<ServiceId, Row> Rows; ///< The same targets by service.
};

} // namespace goldcrestnotch::backend

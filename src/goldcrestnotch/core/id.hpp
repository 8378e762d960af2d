/// @file
/// Strong types for the identifiers that processes exchange.

#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace goldcrestnotch {

/// @brief An identifier whose type differs from that of other kinds of
/// identifiers.
/// @tparam Tag Type that distinguishes the kinds.
template <typename Tag> class Id {
public:
  Id() = default;
  explicit Id(std::string Name) : Value{std::move(Name)} {}

  [[nodiscard]] const std::string &str() const noexcept { return Value; }
  [[nodiscard]] bool empty() const noexcept { return Value.empty(); }

  auto operator<=>(const Id &) const = default;

private:
  std::string Value;
};

/// A workspace: a customer with a prepaid budget.
using WorkspaceId = Id<struct WorkspaceTag>;
/// A target: a back end that runs requests.
using TargetId = Id<struct TargetTag>;
/// A VM of the fleet.
using VmId = Id<struct VmTag>;
/// A failure domain.
using DomainId = Id<struct DomainTag>;
/// A route: a named rule by which requests of callers reach targets.
using RouteId = Id<struct RouteTag>;
/// A version of the service that targets provide.
using VersionId = Id<struct VersionTag>;
/// A request of a caller. Its retries have the same id.
using RequestId = Id<struct RequestTag>;
/// A plan of an operator.
using PlanId = Id<struct PlanTag>;
/// A move of traffic from one version to another.
using MoveId = Id<struct MoveTag>;
/// A pool of tokens that can be divided among VMs: the budget of a workspace or
/// the slots of a target.
using PoolId = Id<struct PoolTag>;

} // namespace goldcrestnotch

template <typename Tag> struct std::hash<goldcrestnotch::Id<Tag>> {
  std::size_t operator()(const goldcrestnotch::Id<Tag> &Key) const noexcept {
    return std::hash<std::string>{}(Key.str());
  }
};

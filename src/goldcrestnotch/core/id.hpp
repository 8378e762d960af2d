/// @file
/// Strong types for the names that pass between processes.

#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace goldcrestnotch {

/// @brief A name that cannot be mistaken for a name of another kind.
/// @tparam Tag Type that tells the kinds apart.
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

/// A customer that holds a prepaid budget.
using WorkspaceId = Id<struct WorkspaceTag>;
/// A back end that runs requests.
using TargetId = Id<struct TargetTag>;
/// A machine of the fleet.
using VmId = Id<struct VmTag>;
/// A failure domain.
using DomainId = Id<struct DomainTag>;
/// A named way from callers to targets.
using RouteId = Id<struct RouteTag>;
/// A version of what targets serve.
using VersionId = Id<struct VersionTag>;
/// One caller's request; retries of it carry the same id.
using RequestId = Id<struct RequestTag>;
/// An operator's plan.
using PlanId = Id<struct PlanTag>;
/// A version move.
using MoveId = Id<struct MoveTag>;
/// A divisible right: a workspace's budget or a target's slots.
using PoolId = Id<struct PoolTag>;

} // namespace goldcrestnotch

template <typename Tag> struct std::hash<goldcrestnotch::Id<Tag>> {
  std::size_t operator()(const goldcrestnotch::Id<Tag> &Key) const noexcept {
    return std::hash<std::string>{}(Key.str());
  }
};

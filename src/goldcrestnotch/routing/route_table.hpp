/// @file
/// Lookup of a request's route, service and workspace in one configuration.

#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "goldcrestnotch/routing/configuration.hpp"

namespace goldcrestnotch::routing {

/// @brief An immutable index over a configuration.
class RouteTable {
public:
  explicit RouteTable(Configuration Published);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  /// @brief The configuration that the table indexes.
  [[nodiscard]] const Configuration &source() const noexcept { return Source; }
  [[nodiscard]] std::uint64_t version() const noexcept {
    return Source.Version;
  }
  /// @brief Finds the route of a host with the longest prefix of a path.
  /// @param Host The Host header as sent; a port is ignored.
  /// @return Null if no route matches.
  [[nodiscard]] const Route *find(std::string_view Host,
                                  std::string_view Path) const;
  /// @brief Finds the workspace that a key belongs to.
  /// @return Null if the key is unknown.
  [[nodiscard]] const Workspace *workspaceByKey(std::string_view Key) const;
  /// @brief Finds a workspace by name.
  /// @return Null if the name is unknown.
  [[nodiscard]] const Workspace *workspace(const WorkspaceId &Name) const;
  /// @brief Finds a service by name.
  /// @return Null if the name is unknown.
  [[nodiscard]] const Service *service(const ServiceId &Name) const;
  /// @brief Draws one of a route's services at random, by weight.
  /// @param Draw A random number, uniform in [0, 1).
  [[nodiscard]] static const ServiceId &chooseService(const Route &From,
                                                      double Draw);

private:
  struct TextHash : std::hash<std::string_view> {
    using is_transparent = void;
  };
  template <typename Value>
  using TextMap =
      std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

  Configuration Source;
  TextMap<TextMap<const Route *>> RoutesByHost; ///< By host, then by prefix.
  TextMap<const Workspace *> WorkspacesByKey;
  TextMap<const Workspace *> WorkspacesByName;
  TextMap<const Service *> ServicesByName;
};

} // namespace goldcrestnotch::routing

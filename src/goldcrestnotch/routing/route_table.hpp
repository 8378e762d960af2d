/// @file
/// Finds the route, service and workspace of a request in one configuration.

#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "goldcrestnotch/routing/configuration.hpp"

namespace goldcrestnotch::routing {

/// @brief An index over a configuration; never changes.
class RouteTable {
public:
  explicit RouteTable(Configuration Source);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  [[nodiscard]] const Configuration &source() const noexcept { return Source; }
  [[nodiscard]] std::uint64_t version() const noexcept {
    return Source.Version;
  }
  /// @brief The route of the longest prefix that begins the path.
  /// @param Host As sent; a port is passed over.
  /// @return Null if no route matches.
  [[nodiscard]] const Route *find(std::string_view Host,
                                  std::string_view Path) const;
  /// @brief The workspace that holds a key, or null.
  [[nodiscard]] const Workspace *workspaceByKey(std::string_view Key) const;
  [[nodiscard]] const Workspace *workspace(const WorkspaceId &Name) const;
  [[nodiscard]] const Service *service(const ServiceId &Name) const;
  /// @brief Draws a service of a route by weight.
  /// @param Draw Uniform in [0, 1).
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
  TextMap<TextMap<const Route *>> Hosts; ///< By host, then prefix.
  TextMap<const Workspace *> Keys;
  TextMap<const Workspace *> Workspaces;
  TextMap<const Service *> Services;
};

} // namespace goldcrestnotch::routing

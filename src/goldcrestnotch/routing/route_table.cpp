/// @file
/// Building and searching the index.

#include "goldcrestnotch/routing/route_table.hpp"

#include <utility>

namespace goldcrestnotch::routing {

namespace internal {

template <typename Map>
[[nodiscard]] static auto lookUp(const Map &In, std::string_view Name) ->
    typename Map::mapped_type {
  const auto It = In.find(Name);
  return It == In.end() ? nullptr : It->second;
}

} // namespace internal

RouteTable::RouteTable(Configuration Given) : Source{std::move(Given)} {
  for (const auto &One : Source.Routes) {
    Hosts[One.Host][One.Prefix] = &One;
  }
  for (const auto &One : Source.Services) {
    Services[One.Name.str()] = &One;
  }
  for (const auto &One : Source.Workspaces) {
    Workspaces[One.Name.str()] = &One;
    for (const auto &Key : One.Keys) {
      Keys[Key] = &One;
    }
  }
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  Host = Host.substr(0, Host.find(':'));
  const auto At = Hosts.find(Host);
  if (At == Hosts.end()) {
    return nullptr;
  }
  for (auto End = Path.rfind('/'); End != std::string_view::npos;
       End = End == 0 ? std::string_view::npos : Path.rfind('/', End - 1)) {
    if (const auto *Found =
            internal::lookUp(At->second, Path.substr(0, End + 1))) {
      return Found;
    }
  }
  return nullptr;
}

const Workspace *RouteTable::workspaceByKey(std::string_view Key) const {
  return internal::lookUp(Keys, Key);
}

const Workspace *RouteTable::workspace(const WorkspaceId &Name) const {
  return internal::lookUp(Workspaces, Name.str());
}

const Service *RouteTable::service(const ServiceId &Name) const {
  return internal::lookUp(Services, Name.str());
}

const ServiceId &RouteTable::chooseService(const Route &From, double Draw) {
  double Total = 0;
  for (const auto &One : From.Services) {
    Total += One.Weight;
  }
  double Left = Draw * Total;
  for (const auto &One : From.Services) {
    Left -= One.Weight;
    if (Left < 0 && One.Weight > 0) {
      return One.Name;
    }
  }
  return From.Services.front().Name;
}

} // namespace goldcrestnotch::routing

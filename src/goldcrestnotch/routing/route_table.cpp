/// @file
/// Construction and lookups of the route table.

#include "goldcrestnotch/routing/route_table.hpp"

#include <utility>

namespace goldcrestnotch::routing {

namespace internal {

template <typename Map>
[[nodiscard]] static auto lookUp(const Map &Index, std::string_view Name) ->
    typename Map::mapped_type {
  const auto It = Index.find(Name);
  return It == Index.end() ? nullptr : It->second;
}

} // namespace internal

RouteTable::RouteTable(Configuration Published) : Source{std::move(Published)} {
  for (const auto &Entry : Source.Routes) {
    RoutesByHost[Entry.Host][Entry.Prefix] = &Entry;
  }
  for (const auto &Entry : Source.Services) {
    ServicesByName[Entry.Name.str()] = &Entry;
  }
  for (const auto &Entry : Source.Workspaces) {
    WorkspacesByName[Entry.Name.str()] = &Entry;
    for (const auto &Key : Entry.Keys) {
      WorkspacesByKey[Key] = &Entry;
    }
  }
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  Host = Host.substr(0, Host.find(':'));
  const auto HostRoutes = RoutesByHost.find(Host);
  if (HostRoutes == RoutesByHost.end()) {
    return nullptr;
  }
  for (auto Slash = Path.rfind('/'); Slash != std::string_view::npos;
       Slash = Slash == 0 ? std::string_view::npos
                          : Path.rfind('/', Slash - 1)) {
    if (const auto *Match =
            internal::lookUp(HostRoutes->second, Path.substr(0, Slash + 1))) {
      return Match;
    }
  }
  return nullptr;
}

const Workspace *RouteTable::workspaceByKey(std::string_view Key) const {
  return internal::lookUp(WorkspacesByKey, Key);
}

const Workspace *RouteTable::workspace(const WorkspaceId &Name) const {
  return internal::lookUp(WorkspacesByName, Name.str());
}

const Service *RouteTable::service(const ServiceId &Name) const {
  return internal::lookUp(ServicesByName, Name.str());
}

const ServiceId &RouteTable::chooseService(const Route &From, double Draw) {
  double TotalWeight = 0;
  for (const auto &Candidate : From.Services) {
    TotalWeight += Candidate.Weight;
  }
  double Remaining = Draw * TotalWeight;
  for (const auto &Candidate : From.Services) {
    Remaining -= Candidate.Weight;
    if (Remaining < 0 && Candidate.Weight > 0) {
      return Candidate.Name;
    }
  }
  return From.Services.front().Name;
}

} // namespace goldcrestnotch::routing

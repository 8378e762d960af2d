/// @file
/// Forward declarations of the routing module.

#pragma once

namespace goldcrestnotch::routing {

struct Route;
struct Service;
struct Workspace;
struct Configuration;
class RouteTable;

} // namespace goldcrestnotch::routing

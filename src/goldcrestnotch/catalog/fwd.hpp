/// @file
/// Forward declarations of the catalog types.

#pragma once

namespace goldcrestnotch {

struct Workspace;
struct Route;
struct Target;
struct Move;
struct Plan;
class Catalog;

} // namespace goldcrestnotch

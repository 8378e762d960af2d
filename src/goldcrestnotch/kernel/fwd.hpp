/// @file
/// Forward declarations of the kernel module.

#pragma once

namespace goldcrestnotch {

class Kernel;
class Plugin;
class PluginRegistry;

} // namespace goldcrestnotch

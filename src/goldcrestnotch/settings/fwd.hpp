/// @file
/// Forward declarations of the settings module.

#pragma once

namespace goldcrestnotch {

struct Settings;
class SettingsError;

} // namespace goldcrestnotch

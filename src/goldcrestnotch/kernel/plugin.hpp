/// @file
/// Roles of a daemon are plug-ins that register themselves.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "goldcrestnotch/kernel/fwd.hpp"

namespace goldcrestnotch {

/// @brief The order in which plug-ins start; they stop the other way round.
enum class Stage : int { Platform, State, Fleet, Traffic };

/// @brief A part of the daemon with a life cycle.
class Plugin {
public:
  virtual ~Plugin() = default;

  /// @brief Begins work; all earlier stages have started.
  virtual void start() = 0;
  /// @brief Takes no new work.
  virtual void drain() {}
  /// @brief Whether all work in progress has ended.
  [[nodiscard]] virtual bool drained() { return true; }
};

/// @brief The plug-ins that are linked in.
class PluginRegistry {
public:
  using Factory = std::function<std::unique_ptr<Plugin>(Kernel &)>;

  [[nodiscard]] static PluginRegistry &global() {
    static PluginRegistry Only;
    return Only;
  }

  template <typename Visitor> void each(Visitor Visit) const {
    for (const auto &[Key, Make] : Factories) {
      Visit(Key.second, Make);
    }
  }

  /// @brief Adds a plug-in; the same name again replaces it.
  void emplace(Stage When, std::string Name, Factory Make) {
    Factories.insert_or_assign({When, std::move(Name)}, std::move(Make));
  }

private:
  std::map<std::pair<Stage, std::string>, Factory> Factories;
};

/// @brief A static object of this type registers a plug-in.
/// @tparam Type Constructible from `Kernel &`.
template <typename Type> struct RegisterPlugin {
  RegisterPlugin(Stage When, std::string Name) {
    PluginRegistry::global().emplace(When, std::move(Name), [](Kernel &Host) {
      return std::make_unique<Type>(Host);
    });
  }
};

} // namespace goldcrestnotch

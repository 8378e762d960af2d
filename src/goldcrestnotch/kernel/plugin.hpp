/// @file
/// Plug-ins of a daemon, which register themselves at static initialization.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "goldcrestnotch/kernel/fwd.hpp"

namespace goldcrestnotch {

/// @brief Stages of the start. Plug-ins start in this order and drain in
/// reverse order.
enum class Stage : int { Platform, State, Fleet, Traffic };

/// @brief A component of the daemon with a life cycle.
class Plugin {
public:
  virtual ~Plugin() = default;

  /// @brief Starts the plug-in. Those of all earlier stages have been started.
  virtual void start() = 0;
  /// @brief Stops accepting new work.
  virtual void drain() {}
  /// @brief Whether all work in progress has completed.
  [[nodiscard]] virtual bool drained() { return true; }
};

/// @brief The plug-ins that are linked into the program, ordered by stage and
/// name.
class PluginRegistry {
public:
  using Factory = std::function<std::unique_ptr<Plugin>(Kernel &)>;

  /// @brief The registry of the process.
  [[nodiscard]] static PluginRegistry &global() {
    static PluginRegistry Registry;
    return Registry;
  }

  /// @brief Calls a visitor with the name and factory of each plug-in, in
  /// order.
  template <typename Visitor> void forEach(Visitor Visit) const {
    for (const auto &[Key, Create] : Factories) {
      Visit(Key.second, Create);
    }
  }

  /// @brief Registers a plug-in. A plug-in of the same stage and name is
  /// replaced.
  void emplace(Stage StartStage, std::string Name, Factory Create) {
    Factories.insert_or_assign({StartStage, std::move(Name)},
                               std::move(Create));
  }

private:
  std::map<std::pair<Stage, std::string>, Factory> Factories;
};

/// @brief Registers a plug-in; instantiate it as a static object.
/// @tparam Type The plug-in; must be constructible from `Kernel &`.
template <typename Type> struct RegisterPlugin {
  RegisterPlugin(Stage StartStage, std::string Name) {
    PluginRegistry::global().emplace(
        StartStage, std::move(Name),
        [](Kernel &Host) { return std::make_unique<Type>(Host); });
  }
};

} // namespace goldcrestnotch

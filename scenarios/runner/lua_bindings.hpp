/// @file
/// The C++ functions that the Lua prelude and the scenarios call.

#pragma once

#include <map>
#include <memory>
#include <string>

#include "caller.hpp"
#include "process.hpp"
#include "relay.hpp"

struct lua_State;

namespace scenario {

/// @brief Owns the processes, relays and calls that a scenario has started.
class ScenarioContext {
public:
  /// @param Folder Where `write_file` puts files for the processes.
  explicit ScenarioContext(std::string Folder) : Folder{std::move(Folder)} {}

  /// @brief Registers the functions as globals of the Lua state.
  void install(lua_State *State);

  [[nodiscard]] Caller &caller() noexcept { return Callers; }
  [[nodiscard]] const std::string &folder() const noexcept { return Folder; }
  /// @throws std::runtime_error if no process was started under the name.
  [[nodiscard]] Process &process(const std::string &Name);

private:
  std::string Folder;
  Caller Callers; ///< Outlives the relays, which run on its threads.

public:
  std::map<std::string, std::unique_ptr<Process>> Processes;
  std::map<std::int64_t, std::shared_ptr<Relay>> Relays; ///< By port.
};

} // namespace scenario

/// @file
/// The words that a scenario may use, beneath its Lua prelude.

#pragma once

#include <map>
#include <memory>
#include <string>

#include "caller.hpp"
#include "process.hpp"
#include "relay.hpp"

struct lua_State;

namespace scenario {

/// @brief Everything that a scenario has started.
class Stage {
public:
  /// @param Folder For files that processes read.
  explicit Stage(std::string Folder) : Folder{std::move(Folder)} {}

  /// @brief Makes the words known to Lua.
  void install(lua_State *State);

  [[nodiscard]] Caller &caller() noexcept { return Callers; }
  [[nodiscard]] const std::string &folder() const noexcept { return Folder; }
  [[nodiscard]] Process &process(const std::string &Name);

private:
  std::string Folder;
  Caller Callers; ///< Outlives the relays, which run on its threads.

public:
  std::map<std::string, std::unique_ptr<Process>> Processes;
  std::map<std::int64_t, std::shared_ptr<Relay>> Relays; ///< By port.
};

} // namespace scenario

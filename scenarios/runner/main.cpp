/// @file
/// Runs one scenario: `scenario PRELUDE SCRIPT [SEED]`. Exits with 0 if all
/// expectations of the script held, with 1 if not, and with 2 on wrong usage.

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

#include <lua.hpp>
#include <unistd.h>

#include "lua_bindings.hpp"

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;
constexpr const char *DefaultSeed = "1";

/// A temporary folder that is removed with its owner.
class ScratchFolder {
public:
  ScratchFolder() {
    auto Template =
        (std::filesystem::temp_directory_path() / "goldcrestnotch-XXXXXX")
            .string();
    if (mkdtemp(Template.data()) == nullptr) {
      throw std::runtime_error{"cannot create a temporary folder"};
    }
    Path = Template;
  }
  ~ScratchFolder() { remove(); }
  ScratchFolder(const ScratchFolder &) = delete;
  ScratchFolder &operator=(const ScratchFolder &) = delete;

  [[nodiscard]] const std::string &path() const noexcept { return Path; }

  void remove() noexcept {
    std::error_code Ignored;
    std::filesystem::remove_all(Path, Ignored);
  }

private:
  std::string Path;
};

int traceback(lua_State *State) {
  luaL_traceback(State, State, lua_tostring(State, 1), 1);
  return 1;
}

bool runFile(lua_State *State, const std::string &Name) {
  lua_pushcfunction(State, traceback);
  const int Handler = lua_gettop(State);
  const bool Passed = luaL_loadfile(State, Name.c_str()) == LUA_OK &&
                      lua_pcall(State, 0, 0, Handler) == LUA_OK;
  if (!Passed) {
    std::cout << lua_tostring(State, -1) << std::endl;
  }
  return Passed;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 3) {
    std::cerr << "usage: scenario PRELUDE SCRIPT [SEED]\n";
    return ExitUsage;
  }
  ScratchFolder Scratch;
  scenario::ScenarioContext Context{Scratch.path()};
  lua_State *State = luaL_newstate();
  luaL_openlibs(State);
  Context.install(State);
  lua_pushinteger(State, std::atoll(Count > 3 ? Arguments[3] : DefaultSeed));
  lua_setglobal(State, "SEED");
  const bool Passed =
      runFile(State, Arguments[1]) && runFile(State, Arguments[2]);
  lua_close(State);
  std::cout << (Passed ? "PASS " : "FAIL ") << Arguments[2] << std::endl;
  // Calls may still be in progress; `quick_exit` ends their coroutines without
  // unwinding them.
  Context.Processes.clear();
  Scratch.remove();
  std::quick_exit(Passed ? 0 : ExitFailed);
}

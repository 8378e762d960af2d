/// @file
/// Runs one scenario: `scenario PRELUDE SCRIPT [SEED]`. Ends with 0 if all its
/// expectations held.

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

#include <lua.hpp>
#include <unistd.h>

#include "vocabulary.hpp"

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;
constexpr const char *DefaultSeed = "1";

/// A folder that goes away with its owner.
class ScratchFolder {
public:
  ScratchFolder() {
    auto Template =
        (std::filesystem::temp_directory_path() / "goldcrestnotch-XXXXXX")
            .string();
    if (mkdtemp(Template.data()) == nullptr) {
      throw std::runtime_error{"no scratch folder"};
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
  const bool Good = luaL_loadfile(State, Name.c_str()) == LUA_OK &&
                    lua_pcall(State, 0, 0, Handler) == LUA_OK;
  if (!Good) {
    std::cout << lua_tostring(State, -1) << std::endl;
  }
  return Good;
}

} // namespace

int main(int Count, char **Words) {
  if (Count < 3) {
    std::cerr << "usage: scenario PRELUDE SCRIPT [SEED]\n";
    return ExitUsage;
  }
  ScratchFolder Scratch;
  scenario::Stage Running{Scratch.path()};
  lua_State *State = luaL_newstate();
  luaL_openlibs(State);
  Running.install(State);
  lua_pushinteger(State, std::atoll(Count > 3 ? Words[3] : DefaultSeed));
  lua_setglobal(State, "SEED");
  const bool Good = runFile(State, Words[1]) && runFile(State, Words[2]);
  lua_close(State);
  std::cout << (Good ? "PASS " : "FAIL ") << Words[2] << std::endl;
  // Calls may still be under way; their coroutines end with the process.
  Running.Processes.clear();
  Scratch.remove();
  std::quick_exit(Good ? 0 : ExitFailed);
}

/// @file
/// Lua bindings; arguments and results pass as JSON values.

#include "vocabulary.hpp"

#include <chrono>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <lua.hpp>

#include "goldcrestnotch/core/instant.hpp"
#include "load.hpp"

namespace scenario {

using nlohmann::json;

namespace {

constexpr int MostDepth = 32;

json toJson(lua_State *State, int At, int Depth = 0);

/// Lua slots that one level of a value needs.
constexpr int LevelSlots = 8;

json tableToJson(lua_State *State, int At, int Depth) {
  luaL_checkstack(State, LevelSlots, "a table is nested too deep");
  const auto Size = lua_rawlen(State, At);
  json Result = Size > 0 ? json::array() : json::object();
  lua_pushnil(State);
  while (lua_next(State, At) != 0) {
    const auto Value = toJson(State, lua_gettop(State), Depth + 1);
    if (Result.is_array()) {
      Result.push_back(Value);
    } else {
      lua_pushvalue(State, -2);
      Result[lua_tostring(State, -1)] = Value;
      lua_pop(State, 1);
    }
    lua_pop(State, 1);
  }
  return Result;
}

json toJson(lua_State *State, int At, int Depth) {
  if (Depth > MostDepth) {
    throw std::runtime_error{"a table is nested too deep"};
  }
  switch (lua_type(State, At)) {
  case LUA_TBOOLEAN:
    return lua_toboolean(State, At) != 0;
  case LUA_TNUMBER:
    if (lua_isinteger(State, At) != 0) {
      return static_cast<std::int64_t>(lua_tointeger(State, At));
    }
    return lua_tonumber(State, At);
  case LUA_TSTRING: {
    std::size_t Size = 0;
    const char *Text = lua_tolstring(State, At, &Size);
    return std::string{Text, Size};
  }
  case LUA_TTABLE:
    return tableToJson(State, lua_absindex(State, At), Depth);
  default:
    return nullptr;
  }
}

void push(lua_State *State, const json &Value) {
  luaL_checkstack(State, LevelSlots, "a value is nested too deep");
  if (Value.is_boolean()) {
    lua_pushboolean(State, Value.get<bool>() ? 1 : 0);
  } else if (Value.is_number_integer()) {
    lua_pushinteger(State, Value.get<std::int64_t>());
  } else if (Value.is_number()) {
    lua_pushnumber(State, Value.get<double>());
  } else if (Value.is_string()) {
    const auto &Text = Value.get_ref<const std::string &>();
    lua_pushlstring(State, Text.data(), Text.size());
  } else if (Value.is_array()) {
    lua_newtable(State);
    lua_Integer Index = 0;
    for (const auto &One : Value) {
      push(State, One);
      lua_rawseti(State, -2, ++Index);
    }
  } else if (Value.is_object()) {
    lua_newtable(State);
    for (const auto &[Name, One] : Value.items()) {
      push(State, One);
      lua_setfield(State, -2, Name.c_str());
    }
  } else {
    lua_pushnil(State);
  }
}

using Word = json (*)(Stage &, const json &);

/// Calls a word; its exception becomes a Lua error once all C++ objects of the
/// call are gone.
int call(lua_State *State) {
  bool Failed = false;
  try {
    auto *Owner =
        static_cast<Stage *>(lua_touserdata(State, lua_upvalueindex(1)));
    const auto Called =
        reinterpret_cast<Word>(lua_touserdata(State, lua_upvalueindex(2)));
    json Given = json::array();
    for (int I = 1; I <= lua_gettop(State); ++I) {
      Given.push_back(toJson(State, I));
    }
    push(State, Called(*Owner, Given));
  } catch (const std::exception &Failure) {
    Failed = true;
    lua_pushstring(State, Failure.what());
  }
  return Failed ? lua_error(State) : 1;
}

std::string programPath(const std::string &Name) {
  if (Name == "daemon") {
    return DAEMON_PATH;
  }
  if (Name == "ctl") {
    return CTL_PATH;
  }
  if (Name == "standin") {
    return STANDIN_PATH;
  }
  throw std::runtime_error{"unknown program " + Name};
}

json startProcess(Stage &On, const json &Given) {
  const auto Name = Given.at(0).get<std::string>();
  On.Processes[Name] = std::make_unique<Process>(
      programPath(Given.at(1).get<std::string>()),
      Given.at(2).empty() ? std::vector<std::string>{}
                          : Given.at(2).get<std::vector<std::string>>());
  return On.Processes[Name]->id();
}

json signalProcess(Stage &On, const json &Given) {
  On.process(Given.at(0).get<std::string>()).signal(Given.at(1).get<int>());
  return true;
}

json waitProcess(Stage &On, const json &Given) {
  const auto Code =
      On.process(Given.at(0).get<std::string>()).wait(Given.at(1).get<int>());
  return Code ? json(*Code) : json(nullptr);
}

json processOutput(Stage &On, const json &Given) {
  return On.process(Given.at(0).get<std::string>()).output();
}

json writeFile(Stage &On, const json &Given) {
  const auto Path = On.folder() + "/" + Given.at(0).get<std::string>();
  std::ofstream{Path} << Given.at(1).get<std::string>();
  return Path;
}

json startCall(Stage &On, const json &Given) {
  return On.caller().start(Given.at(0));
}

json waitCall(Stage &On, const json &Given) {
  return On.caller().wait(Given.at(0).get<std::uint64_t>());
}

json receivedBytes(Stage &On, const json &Given) {
  return On.caller().received(Given.at(0).get<std::uint64_t>());
}

json startRelay(Stage &On, const json &Given) {
  auto Fresh = std::make_shared<Relay>(On.caller().context(),
                                       Given.at(0).get<std::string>());
  Fresh->start();
  On.Relays[Fresh->port()] = Fresh;
  return Fresh->port();
}

json setRelay(Stage &On, const json &Given) {
  auto &Target = *On.Relays.at(Given.at(0).get<std::int64_t>());
  const auto Mode = Given.at(1).get<std::string>();
  if (Mode == "pass") {
    Target.set(RelayMode::Pass);
  } else if (Mode == "drop") {
    Target.set(RelayMode::Drop);
  } else if (Mode == "silent") {
    Target.set(RelayMode::Silent);
  } else if (Mode == "stale") {
    Target.set(RelayMode::Stale);
  } else if (Mode == "delay") {
    Target.delay(Given.at(2).get<int>());
  } else if (Mode == "aim") {
    Target.aim(Given.at(2).get<std::string>());
  } else {
    throw std::runtime_error{"unknown relay mode " + Mode};
  }
  return true;
}

json loadWord(Stage &, const json &Given) { return runLoad(Given.at(0)); }

json sleepFor(Stage &, const json &Given) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds{Given.at(0).get<std::int64_t>()});
  return true;
}

json nowMillis(Stage &, const json &) {
  return goldcrestnotch::DecisionClock::now().time_since_epoch().count();
}

json wallMillis(Stage &, const json &) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

json encodeJson(Stage &, const json &Given) { return Given.at(0).dump(); }

json decodeJson(Stage &, const json &Given) {
  return json::parse(Given.at(0).get<std::string>(), nullptr, false);
}

} // namespace

Process &Stage::process(const std::string &Name) {
  const auto It = Processes.find(Name);
  if (It == Processes.end()) {
    throw std::runtime_error{"no process " + Name};
  }
  return *It->second;
}

void Stage::install(lua_State *State) {
  const std::map<std::string, Word> Words{
      {"process_start", startProcess}, {"process_signal", signalProcess},
      {"process_wait", waitProcess},   {"process_output", processOutput},
      {"write_file", writeFile},       {"call_start", startCall},
      {"call_wait", waitCall},         {"call_received", receivedBytes},
      {"relay_start", startRelay},     {"relay_set", setRelay},
      {"load_run", loadWord},          {"sleep_ms", sleepFor},
      {"now_ms", nowMillis},           {"wall_ms", wallMillis},
      {"json_encode", encodeJson},     {"json_decode", decodeJson}};
  for (const auto &[Name, Called] : Words) {
    lua_pushlightuserdata(State, this);
    lua_pushlightuserdata(State, reinterpret_cast<void *>(Called));
    lua_pushcclosure(State, call, 2);
    lua_setglobal(State, Name.c_str());
  }
}

} // namespace scenario

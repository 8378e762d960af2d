/// @file
/// Lua bindings; arguments and results are converted from and to JSON values.

#include "lua_bindings.hpp"

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

constexpr int MaxDepth = 32;

json toJson(lua_State *State, int Index, int Depth = 0);

/// Lua stack slots that one nesting level of a value needs.
constexpr int LevelSlots = 8;

json tableToJson(lua_State *State, int Index, int Depth) {
  luaL_checkstack(State, LevelSlots, "a table is nested too deep");
  const auto Size = lua_rawlen(State, Index);
  json Result = Size > 0 ? json::array() : json::object();
  lua_pushnil(State);
  while (lua_next(State, Index) != 0) {
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

json toJson(lua_State *State, int Index, int Depth) {
  if (Depth > MaxDepth) {
    throw std::runtime_error{"a table is nested too deep"};
  }
  switch (lua_type(State, Index)) {
  case LUA_TBOOLEAN:
    return lua_toboolean(State, Index) != 0;
  case LUA_TNUMBER:
    if (lua_isinteger(State, Index) != 0) {
      return static_cast<std::int64_t>(lua_tointeger(State, Index));
    }
    return lua_tonumber(State, Index);
  case LUA_TSTRING: {
    std::size_t Size = 0;
    const char *Text = lua_tolstring(State, Index, &Size);
    return std::string{Text, Size};
  }
  case LUA_TTABLE:
    return tableToJson(State, lua_absindex(State, Index), Depth);
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
    lua_Integer Position = 0;
    for (const auto &Item : Value) {
      push(State, Item);
      lua_rawseti(State, -2, ++Position);
    }
  } else if (Value.is_object()) {
    lua_newtable(State);
    for (const auto &[Name, Item] : Value.items()) {
      push(State, Item);
      lua_setfield(State, -2, Name.c_str());
    }
  } else {
    lua_pushnil(State);
  }
}

using Binding = json (*)(ScenarioContext &, const json &);

/// Calls a binding. An exception becomes a Lua error only after all C++ objects
/// of the call are destroyed, since `lua_error` may jump over destructors.
int call(lua_State *State) {
  bool Failed = false;
  try {
    auto *Context = static_cast<ScenarioContext *>(
        lua_touserdata(State, lua_upvalueindex(1)));
    const auto Function =
        reinterpret_cast<Binding>(lua_touserdata(State, lua_upvalueindex(2)));
    json Arguments = json::array();
    for (int I = 1; I <= lua_gettop(State); ++I) {
      Arguments.push_back(toJson(State, I));
    }
    push(State, Function(*Context, Arguments));
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

json startProcess(ScenarioContext &Context, const json &Arguments) {
  const auto Name = Arguments.at(0).get<std::string>();
  Context.Processes[Name] = std::make_unique<Process>(
      programPath(Arguments.at(1).get<std::string>()),
      Arguments.at(2).empty()
          ? std::vector<std::string>{}
          : Arguments.at(2).get<std::vector<std::string>>());
  return Context.Processes[Name]->id();
}

json signalProcess(ScenarioContext &Context, const json &Arguments) {
  Context.process(Arguments.at(0).get<std::string>())
      .signal(Arguments.at(1).get<int>());
  return true;
}

json waitProcess(ScenarioContext &Context, const json &Arguments) {
  const auto Code = Context.process(Arguments.at(0).get<std::string>())
                        .wait(Arguments.at(1).get<int>());
  return Code ? json(*Code) : json(nullptr);
}

json processOutput(ScenarioContext &Context, const json &Arguments) {
  return Context.process(Arguments.at(0).get<std::string>()).output();
}

json writeFile(ScenarioContext &Context, const json &Arguments) {
  const auto Path = Context.folder() + "/" + Arguments.at(0).get<std::string>();
  std::ofstream{Path} << Arguments.at(1).get<std::string>();
  return Path;
}

json startCall(ScenarioContext &Context, const json &Arguments) {
  return Context.caller().start(Arguments.at(0));
}

json waitCall(ScenarioContext &Context, const json &Arguments) {
  return Context.caller().wait(Arguments.at(0).get<std::uint64_t>());
}

json receivedBytes(ScenarioContext &Context, const json &Arguments) {
  return Context.caller().received(Arguments.at(0).get<std::uint64_t>());
}

json startRelay(ScenarioContext &Context, const json &Arguments) {
  auto NewRelay = std::make_shared<Relay>(Context.caller().context(),
                                          Arguments.at(0).get<std::string>());
  NewRelay->start();
  Context.Relays[NewRelay->port()] = NewRelay;
  return NewRelay->port();
}

json setRelay(ScenarioContext &Context, const json &Arguments) {
  auto &ChosenRelay = *Context.Relays.at(Arguments.at(0).get<std::int64_t>());
  const auto Mode = Arguments.at(1).get<std::string>();
  if (Mode == "pass") {
    ChosenRelay.set(RelayMode::Pass);
  } else if (Mode == "drop") {
    ChosenRelay.set(RelayMode::Drop);
  } else if (Mode == "silent") {
    ChosenRelay.set(RelayMode::Silent);
  } else if (Mode == "stale") {
    ChosenRelay.set(RelayMode::Stale);
  } else if (Mode == "delay") {
    ChosenRelay.delay(Arguments.at(2).get<int>());
  } else if (Mode == "aim") {
    ChosenRelay.aim(Arguments.at(2).get<std::string>());
  } else {
    throw std::runtime_error{"unknown relay mode " + Mode};
  }
  return true;
}

json runLoadCall(ScenarioContext &, const json &Arguments) {
  return runLoad(Arguments.at(0));
}

json sleepFor(ScenarioContext &, const json &Arguments) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds{Arguments.at(0).get<std::int64_t>()});
  return true;
}

json nowMillis(ScenarioContext &, const json &) {
  return goldcrestnotch::DecisionClock::now().time_since_epoch().count();
}

json wallMillis(ScenarioContext &, const json &) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

json encodeJson(ScenarioContext &, const json &Arguments) {
  return Arguments.at(0).dump();
}

json decodeJson(ScenarioContext &, const json &Arguments) {
  return json::parse(Arguments.at(0).get<std::string>(), nullptr, false);
}

} // namespace

Process &ScenarioContext::process(const std::string &Name) {
  const auto It = Processes.find(Name);
  if (It == Processes.end()) {
    throw std::runtime_error{"no process was started under the name " + Name};
  }
  return *It->second;
}

void ScenarioContext::install(lua_State *State) {
  const std::map<std::string, Binding> Bindings{
      {"process_start", startProcess}, {"process_signal", signalProcess},
      {"process_wait", waitProcess},   {"process_output", processOutput},
      {"write_file", writeFile},       {"call_start", startCall},
      {"call_wait", waitCall},         {"call_received", receivedBytes},
      {"relay_start", startRelay},     {"relay_set", setRelay},
      {"load_run", runLoadCall},       {"sleep_ms", sleepFor},
      {"now_ms", nowMillis},           {"wall_ms", wallMillis},
      {"json_encode", encodeJson},     {"json_decode", decodeJson}};
  for (const auto &[Name, Function] : Bindings) {
    lua_pushlightuserdata(State, this);
    lua_pushlightuserdata(State, reinterpret_cast<void *>(Function));
    lua_pushcclosure(State, call, 2);
    lua_setglobal(State, Name.c_str());
  }
}

} // namespace scenario

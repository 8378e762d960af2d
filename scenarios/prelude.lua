-- Helper functions of the scenarios: they start a fleet of real processes on
-- loopback, send requests to it, inject faults, and check the statistics that
-- the stand-ins report.

math.randomseed(SEED)

OPERATOR_KEY = "operator-key-0123456789"
PEER_KEY = "peer-key-0123456789abcd"
READY_MS = 15000

SIGKILL, SIGTERM, SIGSTOP, SIGCONT = 9, 15, 19, 18

function say(...) print(string.format(...)) end

function expect(condition, ...)
  if not condition then error("EXPECTED: " .. string.format(...), 2) end
end

-- Polls a condition every 20 ms until it returns a true value; raises an error
-- after `limit_ms`.
function eventually(limit_ms, what, condition)
  local deadline = now_ms() + limit_ms
  while true do
    local result = condition()
    if result then return result end
    if now_ms() > deadline then
      error("NOT WITHIN " .. limit_ms .. " ms: " .. what, 2)
    end
    sleep_ms(20)
  end
end

-- HTTP ----------------------------------------------------------------------

function http(request) return call_wait(call_start(request)) end

function get(address, path)
  local reply = http{address = address, path = path}
  return reply.status, json_decode(reply.body)
end

function post(address, path, body)
  return http{address = address, method = "POST", path = path,
              body = type(body) == "table" and json_encode(body) or body}
end

-- Changes the behaviour of a stand-in, such as an outage or its response times.
function switch(standin, switches)
  local reply = post(standin.address, "/admin/switches", switches)
  expect(reply.status == 200, "switches of %s: %s", standin.name, reply.body)
end

-- Returns the statistics of a stand-in.
function account(standin)
  local _, body = get(standin.address, "/admin/account")
  return body
end

-- Stand-ins -----------------------------------------------------------------

-- Waits until a stand-in listens, and returns its port.
local function port_of(name)
  return eventually(READY_MS, name .. " listens", function()
    return process_output(name):match("port (%d+)")
  end)
end

function standin(kind, name, options)
  local words = {kind}
  for key, value in pairs(options or {}) do
    words[#words + 1] = key .. "=" .. tostring(value)
  end
  process_start(name, "standin", words)
  return {name = name, kind = kind, address = "127.0.0.1:" .. port_of(name)}
end

function kill(thing) process_signal(thing.name, SIGKILL); process_wait(thing.name, 5000) end
function freeze(thing) process_signal(thing.name, SIGSTOP) end
function thaw(thing) process_signal(thing.name, SIGCONT) end
function terminate(thing) process_signal(thing.name, SIGTERM) end

-- Fleet ---------------------------------------------------------------------

Fleet = {}
Fleet.__index = Fleet

-- fleet{vms = 3, domains = 3, platform = {...}, settings = {section = {key = v}}}
function fleet(options)
  local self = setmetatable({vms = {}, engines = {}, services = {}}, Fleet)
  self.options = options
  self.platform = standin("platform", "platform", options.platform or {list_lag_ms = 0})
  for i = 1, options.vms do self:add_vm("vm" .. i, "d" .. ((i - 1) % (options.domains or 3) + 1)) end
  self:publish()
  for _, vm in ipairs(self.vms) do self:await_ready(vm) end
  return self
end

local function toml(sections)
  local lines = {}
  for section, keys in pairs(sections) do
    lines[#lines + 1] = "[" .. section .. "]"
    for key, value in pairs(keys) do
      lines[#lines + 1] = key .. " = " ..
        (type(value) == "string" and '"' .. value .. '"' or tostring(value))
    end
  end
  return table.concat(lines, "\n") .. "\n"
end

function Fleet:add_vm(name, domain)
  local vm = {name = name, domain = domain}
  vm.platform_relay = relay_start(self.platform.address)
  vm.peer_relay = relay_start("127.0.0.1:9")
  vm.entry_relay = relay_start("127.0.0.1:9")
  self.vms[#self.vms + 1] = vm
  self:start_vm(vm)
  return vm
end

-- Starts the daemon of a VM. A restart binds the same addresses as the first
-- start.
function Fleet:start_vm(vm)
  local sections = {
    vm = {name = vm.name, domain = vm.domain,
          entry = vm.address or "127.0.0.1:0", peer = vm.peer or "127.0.0.1:0"},
    platform = {address = "127.0.0.1:" .. vm.platform_relay},
    keys = {operator = OPERATOR_KEY, peer = PEER_KEY},
    log = {level = self.options.level or "info"},
  }
  for section, keys in pairs(self.options.settings or {}) do
    sections[section] = sections[section] or {}
    for key, value in pairs(keys) do sections[section][key] = value end
  end
  local path = write_file(vm.name .. ".toml", toml(sections))
  vm.pid = process_start(vm.name, "daemon", {"--config", path})
  local entry = eventually(READY_MS, vm.name .. " listens", function()
    return process_output(vm.name):match('"entry":"([%d.:]+)"')
  end)
  vm.address = entry
  vm.peer = eventually(READY_MS, vm.name .. " listens for peers", function()
    return process_output(vm.name):match('"peer":"([%d.:]+)"')
  end)
  relay_set(vm.entry_relay, "aim", vm.address)
  relay_set(vm.peer_relay, "aim", vm.peer)
end

-- Publishes the live list on the platform stand-in.
function Fleet:publish()
  local rows = {}
  for _, vm in ipairs(self.vms) do
    if not vm.gone then
      rows[#rows + 1] = {vm = vm.name, domain = vm.domain, entry = vm.address,
                         peer = "127.0.0.1:" .. vm.peer_relay,
                         state = vm.leaving and "leaving" or "live"}
    end
  end
  local reply = post(self.platform.address, "/admin/vms",
                     #rows > 0 and {vms = rows} or '{"vms":[]}')
  expect(reply.status == 200, "live list: %s", reply.body)
end

function Fleet:await_ready(vm)
  eventually(READY_MS, vm.name .. " is ready", function()
    return http{address = vm.address, path = "/readyz"}.status == 200
  end)
end

function Fleet:engine(name, options)
  local engine = standin("engine", name, options)
  engine.capacity = (options or {}).capacity or 8
  self.engines[#self.engines + 1] = engine
  return engine
end

function Fleet:service(name, options)
  local service = standin("service", name, options)
  self.services[#self.services + 1] = service
  return service
end

-- Cuts a VM off from the platform, or restores the connection.
function cut(vm) relay_set(vm.platform_relay, "drop") end
function heal(vm) relay_set(vm.platform_relay, "pass") end

-- Operators -----------------------------------------------------------------

function operator(vm, method, path, body, timeout_ms)
  local reply = http{address = vm.address, method = method, path = "/operator/v1/" .. path,
                     headers = {Authorization = "Bearer " .. OPERATOR_KEY},
                     body = body and json_encode(body) or "", timeout_ms = timeout_ms}
  return reply.status, json_decode(reply.body or "")
end

-- Submits an intent and confirms the resulting plan.
function Fleet:change(changes, vm)
  vm = vm or self.vms[1]
  local status, plan = operator(vm, "POST", "intents", changes)
  expect(status == 200, "intent: %s %s", status, json_encode(plan))
  local ended, result = operator(vm, "POST", "plans/" .. plan.plan .. "/confirm")
  expect(ended == 200, "confirm: %s %s", ended, json_encode(result))
  return result
end

function target_change(thing, route, version, options)
  options = options or {}
  return {kind = "target", name = thing.name, route = route, version = version,
          address = options.address or thing.address, domain = options.domain or "d1",
          capacity = thing.capacity or 8, leaving = options.leaving or false}
end

-- Configures a workspace with a key and a budget, the routes for chats, orders
-- and stock, and their targets; waits until all VMs have this version.
function Fleet:configure_basics(tokens)
  local changes = {
    {kind = "workspace", name = "stall", key = "stall-key"},
    {kind = "top-up", workspace = "stall", tokens = tokens},
    {kind = "route", name = "chat", serves = "chat", version = "v1"},
    {kind = "route", name = "orders", serves = "service", idempotent = false, version = "v1"},
    {kind = "route", name = "stock", serves = "service", idempotent = true, version = "v1"},
  }
  for i, engine in ipairs(self.engines) do
    changes[#changes + 1] = target_change(engine, "chat", "v1", {domain = "d" .. ((i - 1) % 3 + 1)})
  end
  for _, service in ipairs(self.services) do
    changes[#changes + 1] = target_change(service, "orders", "v1")
    local reader = {name = service.name .. "-read", address = service.address}
    changes[#changes + 1] = target_change(reader, "stock", "v1")
  end
  self:change(changes)
  for _, vm in ipairs(self.vms) do self:await_version(vm) end
end

function Fleet:await_version(vm)
  local _, first = operator(self.vms[1], "GET", "status")
  eventually(5000, vm.name .. " has the version", function()
    local status, body = operator(vm, "GET", "status")
    return status == 200 and body.version >= first.version
  end)
end

function Fleet:spend(workspace, vm)
  local _, body = operator(vm or self.vms[1], "GET", "spend")
  for _, row in ipairs(body.workspaces or {}) do
    if row.workspace == workspace then return row end
  end
end

-- Callers -------------------------------------------------------------------

-- Starts a chat request. Options: key, tokens, stream, idempotency, headers,
-- address, timeout_ms, stall_ms, model, text.
function chat_start(vm, options)
  options = options or {}
  local headers = {Authorization = "Bearer " .. (options.key or "stall-key")}
  if options.idempotency then headers["Idempotency-Key"] = options.idempotency end
  for name, value in pairs(options.headers or {}) do headers[name] = value end
  return call_start{
    address = options.address or vm.address, method = "POST", path = "/v1/chat/completions",
    headers = headers, timeout_ms = options.timeout_ms, stall_ms = options.stall_ms,
    body = json_encode{model = options.model or "chat", stream = options.stream ~= false,
                       max_tokens = options.tokens or 16,
                       messages = {{role = "user", content = options.text or "how many egg timers?"}}}}
end

function chat(vm, options) return call_wait(chat_start(vm, options)) end

function order_start(vm, key, body, options)
  options = options or {}
  local headers = {Authorization = "Bearer " .. (options.key or "stall-key")}
  if key then headers["Idempotency-Key"] = key end
  return call_start{address = vm.address, method = "POST",
                    path = "/v1/services/" .. (options.route or "orders") .. "/place",
                    headers = headers, body = body, timeout_ms = options.timeout_ms}
end

function order(vm, key, body, options) return call_wait(order_start(vm, key, body, options)) end

-- Returns whether a streamed response arrived completely and without an error.
function is_complete(reply)
  return reply.status == 200 and not reply.error and (reply.body:find("%[DONE%]") ~= nil)
end

-- Joins the content of all events of a streamed response.
function content_of(reply)
  local parts = {}
  for content in reply.body:gmatch('"content":"([^"]*)"') do parts[#parts + 1] = content end
  return table.concat(parts)
end

function verdict_of(reply)
  return reply.verdict or (reply.headers or {})["X-Verdict"]
end

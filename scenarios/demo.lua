-- Demonstration: 8 VMs in 3 failure domains serve chats and orders, and an
-- operator moves a route to a new version.

local f = fleet{vms = 8, domains = 3}
for i = 1, 4 do f:engine("engine" .. i) end
f:service("desk1")
f:configure_basics(50000)
say("8 VMs over 3 failure domains, 4 engines, 1 order desk; 50000 tokens prepaid")

local calls = {}
for i = 1, 40 do
  calls[i] = chat_start(f.vms[i % 8 + 1], {tokens = 24, text = "price of egg timer no. " .. i})
end
local good = 0
for _, handle in ipairs(calls) do
  if is_complete(call_wait(handle)) then good = good + 1 end
end
say("chats answered completely: %d of 40", good)
expect(good == 40, "all chats are answered")

for i = 1, 5 do
  local reply = order(f.vms[i], "crate-" .. i, "crate " .. i)
  expect(reply.status == 200, "order %d: %s", i, reply.body)
end
say("orders placed: 5; run by the desk: %d", (function()
  local n = 0
  for _, runs in pairs(account(f.services[1]).bodies) do n = n + runs end
  return n
end)())

local key = write_file("operator.key", OPERATOR_KEY)
local function ctl(...)
  process_start("ctl", "ctl", {"--server", f.vms[1].address, "--key-file", key, ...})
  local code = process_wait("ctl", 15000)
  sleep_ms(100)
  say("$ goldcrestctl %s\n%s", table.concat({...}, " "), process_output("ctl"))
  return code
end

local new_engine = f:engine("engine5", {capacity = 8})
f:change{target_change(new_engine, "chat", "v2")}
expect(ctl("--yes", "move", "spring", "chat", "v1", "v2", "8") == 0, "the move is confirmed")
local until_ms, sent, answered = now_ms() + 8500, 0, 0
while now_ms() < until_ms do
  if is_complete(chat(f.vms[sent % 8 + 1], {tokens = 4})) then answered = answered + 1 end
  sent = sent + 1
end
say("chats during the move: %d of %d answered", answered, sent)
expect(answered == sent, "no caller notices the move")
expect(ctl("status") == 0, "status")
expect(ctl("spend") == 0, "spend")
expect(ctl("fleet") == 0, "fleet")

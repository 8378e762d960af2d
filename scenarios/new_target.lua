-- Requests that arrive right after a target was added are served, although the
-- VM's ledger may not contain the slots of the target yet.

local f = fleet{vms = 4}
f:engine("engine1", {capacity = 64})
f:configure_basics(4000)

for round = 1, 10 do
  local route = "chat" .. round
  local target = {name = "target" .. round, address = f.engines[1].address, capacity = 8}
  f:change{
    {kind = "route", name = route, serves = "chat", version = "v1"},
    target_change(target, route, "v1"),
  }
  local reply = chat(f.vms[1], {model = route})
  expect(is_complete(reply), "round %d is served, got %s %s", round, reply.status,
         reply.error or reply.body)
end

for round = 1, 10 do
  local workspace = "stall" .. round
  f:change{
    {kind = "workspace", name = workspace, key = "key-of-" .. workspace},
    {kind = "top-up", workspace = workspace, tokens = 1000},
  }
  for _, vm in ipairs(f.vms) do
    local reply = chat(vm, {key = "key-of-" .. workspace})
    local status = reply.status
    -- A VM that has not read the configuration yet does not know the key.
    expect(is_complete(reply) or status == 401, "workspace %d is served at %s, got %s %s",
           round, vm.name, status, reply.error or reply.body)
  end
end

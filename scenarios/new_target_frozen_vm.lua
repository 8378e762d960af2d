-- A target that is added while one VM is frozen is used at once by the others,
-- although the frozen VM may be the one that records the target's slots.

local f = fleet{vms = 4}
f:engine("engine1", {capacity = 64})
f:configure_basics(4000)

freeze(f.vms[4])
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
thaw(f.vms[4])

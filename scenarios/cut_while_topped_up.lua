-- VMs are cut off from the log while operators top up a budget, and all VMs
-- keep serving from their grants. Spending never exceeds the budget, neither as
-- billed nor as counted by the engine.

local f = fleet{vms = 4, settings = {ledger = {grant_wait_ms = 800}}}
f:engine("engine1", {capacity = 64})
f:configure_basics(4000)

local function burst(count, vms)
  local calls, good, refused = {}, 0, {}
  for i = 1, count do calls[i] = chat_start(vms[i % #vms + 1], {tokens = 50}) end
  for i = 1, count do
    local reply = call_wait(calls[i])
    if is_complete(reply) then good = good + 1
    else
      refused[reply.status or 0] = (refused[reply.status or 0] or 0) + 1
      expect(verdict_of(reply) == "not-run", "a refusal says not run: %s", reply.body)
    end
  end
  return good, refused
end

local warm, refused = burst(16, f.vms)
expect(warm == 16, "all are served before the cut, not %d; refused by status: %s", warm,
       json_encode(refused))

cut(f.vms[1]); cut(f.vms[2])
local done = {}
for i = 3, 4 do
  done[i] = call_start{address = f.vms[i].address, method = "POST", path = "/operator/v1/intents",
    headers = {Authorization = "Bearer " .. OPERATOR_KEY},
    body = json_encode{{kind = "top-up", workspace = "stall", tokens = 1000}}}
end
for i = 3, 4 do
  local plan = json_decode(call_wait(done[i]).body)
  local status = operator(f.vms[i], "POST", "plans/" .. plan.plan .. "/confirm")
  expect(status == 200, "top-up %d is in force: %s", i, status)
end
burst(60, f.vms)
heal(f.vms[1]); heal(f.vms[2])
burst(60, f.vms)

eventually(5000, "all VMs agree and nothing is in progress", function()
  local first = f:spend("stall", f.vms[1])
  for _, vm in ipairs(f.vms) do
    local row = f:spend("stall", vm)
    if row.spent ~= first.spent or row.budget ~= 6000 then return false end
  end
  return true
end)
local generated = account(f.engines[1]).generated
local row = f:spend("stall")
expect(generated <= 6000, "the engine generated %d of 6000", generated)
expect(row.spent <= 6000, "spent %d of 6000", row.spent)
say("spent %d, generated %d of 6000", row.spent, generated)

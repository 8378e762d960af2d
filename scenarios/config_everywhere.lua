-- An accepted change takes effect on every VM within 3 s, also on a VM that is
-- cut off from the platform. Of two operators who confirm conflicting plans, one
-- succeeds. No VM returns to an older configuration after a restart, a log outage
-- or the trimming of old offsets.

local f = fleet{vms = 4, settings = {ledger = {snapshot_every_ms = 300}}}
f:engine("engine1")
f:configure_basics(10000)

local function route_version(vm)
  local status, body = operator(vm, "GET", "status")
  if status ~= 200 then return nil end
  for _, row in ipairs(body.routes) do
    if row.route == "stock" then return row.version, body.version end
  end
end

local function everywhere(version, limit_ms, vms)
  for _, vm in ipairs(vms or f.vms) do
    eventually(limit_ms, version .. " is in force at " .. vm.name, function()
      return route_version(vm) == version
    end)
  end
end

local function stock(version)
  return {{kind = "route", name = "stock", serves = "service", idempotent = true, version = version}}
end

sleep_ms(1500) -- By now the VMs have discovered each other.
cut(f.vms[4])
f:change(stock("v2"))
everywhere("v2", 3000)

-- Two operators confirm plans that are based on the same version.
local _, first_plan = operator(f.vms[1], "POST", "intents", stock("v3"))
local _, second_plan = operator(f.vms[2], "POST", "intents", stock("v4"))
local first_status = operator(f.vms[1], "POST", "plans/" .. first_plan.plan .. "/confirm")
local second_status, rejection = operator(f.vms[2], "POST", "plans/" .. second_plan.plan .. "/confirm")
expect(first_status == 200 and second_status == 409,
       "one is confirmed, one conflicts: %s %s", first_status, second_status)
expect(#rejection.conflicts > 0, "the rejection lists the conflicts")
everywhere("v3", 3000)

-- The response to a confirmation is lost; repeating the confirmation has no
-- further effect.
local _, lost = operator(f.vms[1], "POST", "intents", stock("v5"))
switch(f.platform, {lose_answers = 2})
local status, body = operator(f.vms[1], "POST", "plans/" .. lost.plan .. "/confirm")
local again, same = operator(f.vms[2], "POST", "plans/" .. lost.plan .. "/confirm")
expect(again == 200 and same.state == "accepted", "accepted once: %s", json_encode(same))
heal(f.vms[4])
everywhere("v5", 3000)

-- Old offsets are trimmed; a restarted VM starts from a snapshot and doesn't
-- return to an older version.
sleep_ms(1500)
switch(f.platform, {retention_ms = 1000})
sleep_ms(2500)
f:change(stock("v6"))
local _, before = route_version(f.vms[1])
kill(f.vms[2])
f:start_vm(f.vms[2])
f:await_ready(f.vms[2])
local version, after = route_version(f.vms[2])
expect(version == "v6" and after >= before, "the restarted VM is at %s", version)
expect(is_complete(chat(f.vms[2])), "and serves")

-- During a log outage, all VMs keep the current version.
switch(f.platform, {outage = true})
for _, vm in ipairs(f.vms) do
  expect(route_version(vm) == "v6", "%s keeps its version in the outage", vm.name)
end
switch(f.platform, {outage = false, retention_ms = 3600000})
everywhere("v6", 3000)

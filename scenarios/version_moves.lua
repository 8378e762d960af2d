-- Version moves under steady traffic. A move to a healthy version completes in
-- time. A move to a version that fails at once, fails later or is slow is rolled
-- back, and only few requests reach that version. All VMs report the same result.

local f = fleet{vms = 4}
local old = f:engine("old1", {capacity = 64})
f:configure_basics(10000000)
f:change{target_change({name = "old2", address = old.address, capacity = 64}, "chat", "v1")}

local function candidate(name, version)
  local engine = f:engine(name, {capacity = 64})
  f:change{target_change(engine, "chat", version)}
  return engine
end

local function traffic(seconds, during)
  local until_ms, sent, good, last_bad = now_ms() + seconds * 1000, 0, 0, nil
  local open = {}
  while now_ms() < until_ms do
    open[#open + 1] = chat_start(f.vms[sent % 4 + 1], {tokens = 4, stream = false})
    sent = sent + 1
    if during then during() end
    sleep_ms(10)
  end
  for _, handle in ipairs(open) do
    if call_wait(handle).status == 200 then good = good + 1 end
  end
  return sent, good
end

local function move(name, from, to, seconds)
  f:change{{kind = "move", name = name, route = "chat", from = from, to = to,
            deadline_ms = wall_ms() + seconds * 1000}}
end

local function ended(name)
  local result
  for _, vm in ipairs(f.vms) do
    local state = eventually(8000, name .. " has ended at " .. vm.name, function()
      local _, body = operator(vm, "GET", "status")
      for _, row in ipairs(body.moves) do
        if row.move == name and row.state ~= "open" then return row end
      end
    end)
    expect(not result or (result.state == state.state and result.ended_ms == state.ended_ms),
           "%s ended alike on all VMs", name)
    result = state
  end
  return result
end

traffic(1)
candidate("good", "v2")
move("good-move", "v1", "v2", 8)
local sent, good = traffic(9)
expect(good == sent, "all chats are answered during a good move: %d of %d", good, sent)
local row = ended("good-move")
expect(row.state == "done", "the good move is done: %s", row.reason)

local bad = candidate("bad", "v3")
switch(bad, {fail = true})
move("bad-move", "v2", "v3", 8)
sent, good = traffic(5)
row = ended("bad-move")
expect(row.state == "taken back", "the failing move is taken back: %s", row.state)
expect(good == sent, "callers did not notice: %d of %d", good, sent)
say("failing at once: %d requests of %d saw it", account(bad).orders, sent)
expect(account(bad).orders <= sent * 0.05, "few requests saw it: %d", account(bad).orders)

local later = candidate("later", "v4")
move("later-move", "v2", "v4", 10)
local begun, switched = now_ms(), false
sent, good = traffic(9, function()
  if not switched and now_ms() > begun + 5000 then switch(later, {fail = true}); switched = now_ms() end
end)
row = ended("later-move")
expect(row.state == "taken back", "the later fault is seen: %s", row.state)
expect(account(later).failed < 30, "%d requests failed there", account(later).failed)
say("failing later: %d requests failed of %d; %d good", account(later).failed, sent, good)

local slow = candidate("slow", "v5")
switch(slow, {first_ms = 400, between_ms = 60})
move("slow-move", "v2", "v5", 10)
sent, good = traffic(6)
row = ended("slow-move")
expect(row.state == "taken back", "the slow version is taken back: %s", row.state)
say("slow: %d requests of %d saw it", account(slow).orders, sent)
expect(account(slow).orders <= sent * 0.1, "few requests saw it: %d", account(slow).orders)

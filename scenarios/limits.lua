-- A target's concurrency is never exceeded by all VMs together; a leaving
-- target gets nothing new after 3 s; a graceful shutdown cuts nothing off;
-- refusals are immediate.

local f = fleet{vms = 4}
local one = f:engine("engine1", {capacity = 4, between_ms = 4})
local two = f:engine("engine2", {capacity = 4, between_ms = 4})
f:basics(10000000)

local calls = {}
for i = 1, 240 do calls[i] = chat_start(f.vms[i % 4 + 1], {tokens = 20}) end
local good, refused, slowest = 0, 0, 0
for i = 1, 240 do
  local reply = call_wait(calls[i])
  if whole(reply) then good = good + 1
  else
    refused = refused + 1
    slowest = math.max(slowest, reply.total_ms)
    expect(reply.status == 503 and verdict_of(reply) == "not-run", "refused: %s", reply.body)
    expect(reply.headers["Retry-After"], "it says when to come back")
  end
end
for _, engine in ipairs{one, two} do
  local seen = account(engine)
  expect(seen.fell_over == 0 and seen.most_running <= 4,
         "%s: %d at once, fell over %d times", engine.name, seen.most_running, seen.fell_over)
end
say("overload: %d answered, %d refused, the slowest refusal after %d ms", good, refused, slowest)
expect(slowest < 3000, "refusals are immediate, not after %d ms", slowest)
expect(good >= 8, "some are answered")

-- Leaving.
switch(two, {leaving = true})
sleep_ms(3000)
local before = account(two).orders
for i = 1, 40 do chat(f.vms[i % 4 + 1], {tokens = 2}) end
expect(account(two).orders == before, "the leaving target got %d more", account(two).orders - before)

-- Graceful shutdown.
local open = {}
for i = 1, 3 do open[i] = chat_start(f.vms[1], {tokens = 300}) end
sleep_ms(300)
terminate(f.vms[1])
sleep_ms(100)
local late = chat(f.vms[1], {tokens = 2, timeout_ms = 2000})
expect(late.error or late.status == 503, "a draining VM takes no new work")
for i = 1, 3 do
  local reply = call_wait(open[i])
  expect(whole(reply), "request %d in progress is finished: %s", i, reply.error or reply.status)
end
expect(process_wait("vm1", 10000) == 0, "the daemon ends well")
eventually(5000, "its grants are back", function()
  local row = f:spend("stall", f.vms[2])
  return row.in_doubt == 0 and row.written_off == 0
end)

-- All VMs together never exceed the concurrency limit of a target; a leaving
-- target gets no new requests after 3 s; a graceful shutdown completes the requests
-- in progress; overload is refused in less than 3 s.

local f = fleet{vms = 4}
local engine1 = f:engine("engine1", {capacity = 4, between_ms = 4})
local engine2 = f:engine("engine2", {capacity = 4, between_ms = 4})
f:configure_basics(10000000)

local calls = {}
for i = 1, 240 do calls[i] = chat_start(f.vms[i % 4 + 1], {tokens = 20}) end
local good, refused, slowest = 0, 0, 0
for i = 1, 240 do
  local reply = call_wait(calls[i])
  if is_complete(reply) then good = good + 1
  else
    refused = refused + 1
    slowest = math.max(slowest, reply.total_ms)
    expect(reply.status == 503 and verdict_of(reply) == "not-run", "refused: %s", reply.body)
    expect(reply.headers["Retry-After"], "the refusal has a Retry-After header")
  end
end
for _, engine in ipairs{engine1, engine2} do
  local seen = account(engine)
  expect(seen.fell_over == 0 and seen.most_running <= 4,
         "%s: %d at once, fell over %d times", engine.name, seen.most_running, seen.fell_over)
end
say("overload: %d answered, %d refused, the slowest refusal after %d ms", good, refused, slowest)
expect(slowest < 3000, "refusals are immediate, not after %d ms", slowest)
expect(good >= 8, "some are answered")

-- A target announces that it is leaving.
switch(engine2, {leaving = true})
sleep_ms(3000)
local before = account(engine2).orders
for i = 1, 40 do chat(f.vms[i % 4 + 1], {tokens = 2}) end
expect(account(engine2).orders == before, "the leaving target got %d more", account(engine2).orders - before)

-- A VM shuts down gracefully while it streams three responses.
local open = {}
for i = 1, 3 do open[i] = chat_start(f.vms[1], {tokens = 300}) end
sleep_ms(300)
terminate(f.vms[1])
sleep_ms(100)
local late = chat(f.vms[1], {tokens = 2, timeout_ms = 2000})
expect(late.error or late.status == 503, "a draining VM takes no new work")
for i = 1, 3 do
  local reply = call_wait(open[i])
  expect(is_complete(reply), "request %d in progress is finished: %s", i, reply.error or reply.status)
end
expect(process_wait("vm1", 10000) == 0, "the daemon ends well")
eventually(5000, "its grants are back", function()
  local row = f:spend("stall", f.vms[2])
  return row.in_doubt == 0 and row.written_off == 0
end)

-- A second SIGTERM ends a draining daemon at once while it still streams
-- responses, and without a crash. Every request is billed once after a restart.

local f = fleet{vms = 2}
f:engine("engine1", {capacity = 64, between_ms = 50})
f:configure_basics(1000000)

local calls = {}
for i = 1, 20 do calls[i] = chat_start(f.vms[1], {tokens = 200, idempotency = "long-" .. i}) end
eventually(5000, "the answers are under way", function()
  return account(f.engines[1]).orders == 20
end)
terminate(f.vms[1])
sleep_ms(300)
terminate(f.vms[1])
local code = process_wait("vm1", 5000)
expect(code == 0, "the daemon ended with %s", tostring(code))
for i = 1, 20 do call_wait(calls[i]) end
f:start_vm(f.vms[1])
eventually(15000, "every request is billed once", function()
  local row = f:spend("stall", f.vms[2])
  return row.in_doubt == 0 and row.spent == 20 * 206
end)

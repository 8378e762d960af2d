-- A VM is suspended (SIGSTOP), removed from the live list, and resumed after the
-- others have reclaimed its grant. The resumed daemon must stop, and spending must
-- stay within the budget.

local f = fleet{vms = 3, settings = {ledger = {gone_after_ms = 1500}}}
f:engine("engine1", {capacity = 64, between_ms = 5})
f:configure_basics(6000)
for i = 1, 6 do expect(is_complete(chat(f.vms[i % 3 + 1], {tokens = 20})), "warm-up") end

local calls = {}
for i = 1, 8 do calls[i] = chat_start(f.vms[1], {tokens = 100, timeout_ms = 20000}) end
sleep_ms(300)
freeze(f.vms[1])
f.vms[1].gone = true
f:publish()
eventually(8000, "its grant comes back", function()
  local row = f:spend("stall", f.vms[2])
  return row.in_doubt == 0 and row.spent == account(f.engines[1]).generated
end)
local spent = f:spend("stall", f.vms[2]).spent

thaw(f.vms[1])
local late = {}
for i = 1, 4 do late[i] = chat_start(f.vms[1], {tokens = 40, timeout_ms = 5000}) end
eventually(10000, "the old daemon stops", function() return process_wait("vm1", 10) end)
for i = 1, 8 do call_wait(calls[i]) end
for i = 1, 4 do call_wait(late[i]) end

local rest = {}
for i = 1, 140 do rest[i] = chat_start(f.vms[2 + i % 2], {tokens = 40}) end
for i = 1, 140 do call_wait(rest[i]) end
local generated = account(f.engines[1]).generated
expect(generated <= 6000, "the engine generated %d of 6000", generated)
say("spent %d when frozen, generated %d of 6000 in the end", spent, generated)

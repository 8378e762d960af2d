-- A VM is killed while it streams responses, and callers retry through another
-- VM. Every retried response is complete, every request is billed once, and the
-- grant of the killed VM is settled within 10 s after its daemon restarts.

local f = fleet{vms = 3}
f:engine("engine1", {between_ms = 20, capacity = 40})
f:configure_basics(20000)

local calls = {}
for i = 1, 20 do
  calls[i] = chat_start(f.vms[1], {tokens = 60, idempotency = "ask-" .. i})
end
eventually(5000, "all streams are open", function()
  return account(f.engines[1]).orders == 20
end)
sleep_ms(200)
kill(f.vms[1])
local broken = 0
for i = 1, 20 do
  if not is_complete(call_wait(calls[i])) then broken = broken + 1 end
end
expect(broken == 20, "the kill cut all answers, not %d", broken)

local texts = {}
for i = 1, 15 do
  calls[i] = chat_start(f.vms[2 + i % 2], {tokens = 60, idempotency = "ask-" .. i})
end
for i = 1, 15 do
  local reply = call_wait(calls[i])
  expect(is_complete(reply), "retry %d: %s", i, reply.error or reply.body)
  local _, words = content_of(reply):gsub("w%d+ ", "")
  expect(words == 60, "retry %d has 60 tokens, not %d", i, words)
end

f:start_vm(f.vms[1])
f:publish()
f:await_ready(f.vms[1])

-- 20 requests, each with 60 tokens and a prompt of 6 tokens; five of them were
-- never retried.
eventually(10000, "all is billed and nothing is in doubt", function()
  local row = f:spend("stall", f.vms[2])
  return row.spent == 20 * 66 and row.in_doubt == 0 and row.written_off == 0
end)
local generated = account(f.engines[1]).generated
expect(generated == 20 * 66, "the engine generated %d", generated)

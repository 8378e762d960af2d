-- Connections to targets become unresponsive, targets are killed while they
-- stream, and many responses are in progress at once. Each caller gets its own
-- response, complete and without parts of others.

local f = fleet{vms = 3, settings = {traffic = {between_ms = 600, first_byte_ms = 1500}}}
local engine1 = f:engine("engine1", {capacity = 64, between_ms = 10})
local engine2 = f:engine("engine2", {capacity = 64, between_ms = 10})
f:configure_basics(1000000)
local relay = relay_start(engine1.address)
f:change{target_change(engine1, "chat", "v1", {address = "127.0.0.1:" .. relay, domain = "d1"})}
f.vms[1].domain = "d1"

-- Checks that each response is complete, and that a second request with the same
-- idempotency key replays the same stream from its start.
local function check(replies, label)
  for key, handle in pairs(replies) do
    local reply = call_wait(handle)
    expect(is_complete(reply), "%s: %s is complete: %s", label, key, reply.error or reply.body)
    local again = chat(f.vms[2], {tokens = 60, idempotency = key})
    expect(content_of(reply) == content_of(again), "%s: %s has its own text", label, key)
    local _, words = content_of(reply):gsub("w%d+ ", "")
    expect(words == 60, "%s: %s has 60 tokens, not %d", label, key, words)
  end
end

local function begin(prefix, count)
  local replies = {}
  for i = 1, count do
    replies[prefix .. i] = chat_start(f.vms[i % 3 + 1], {tokens = 60, idempotency = prefix .. i})
  end
  return replies
end

check(begin("many-", 45), "interleaved")

local replies = begin("stale-", 20)
sleep_ms(300)
relay_set(relay, "stale")
check(replies, "silent connections")

replies = begin("dead-", 20)
sleep_ms(300)
kill(engine1)
check(replies, "dead engine")

eventually(5000, "each request is billed once", function()
  return f:spend("stall").spent == 85 * 66
end)

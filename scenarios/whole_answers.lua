-- Connections to targets go silent, targets die in the middle of answers, and
-- many answers are under way at once: each caller gets exactly its own.

local f = fleet{vms = 3, settings = {traffic = {between_ms = 600, first_byte_ms = 1500}}}
local one = f:engine("engine1", {capacity = 64, between_ms = 10})
local two = f:engine("engine2", {capacity = 64, between_ms = 10})
f:basics(1000000)
local relay = relay_start(one.address)
f:change{target_change(one, "chat", "v1", {address = "127.0.0.1:" .. relay, domain = "d1"})}
f.vms[1].domain = "d1"

-- A second call with the same key gives the same stream again, from its start.
local function check(replies, label)
  for key, handle in pairs(replies) do
    local reply = call_wait(handle)
    expect(whole(reply), "%s: %s is whole: %s", label, key, reply.error or reply.body)
    local again = chat(f.vms[2], {tokens = 60, idempotency = key})
    expect(text_of(reply) == text_of(again), "%s: %s has its own text", label, key)
    local _, words = text_of(reply):gsub("w%d+ ", "")
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
kill(one)
check(replies, "dead engine")

eventually(5000, "each request is billed once", function()
  return f:spend("stall").spent == 85 * 66
end)

-- A hundred callers stop reading long responses. The VM buffers a bounded number
-- of bytes for each, keeps serving other callers, and closes the stalled ones.

local f = fleet{vms = 1, settings = {traffic = {caller_ms = 4000}}}
f:engine("engine1", {capacity = 260, between_ms = 2})
f:configure_basics(100000000)

local function resident_kib()
  for line in io.lines("/proc/" .. f.vms[1].pid .. "/status") do
    local kib = line:match("VmRSS:%s+(%d+)")
    if kib then return tonumber(kib) end
  end
end

for i = 1, 20 do chat(f.vms[1], {tokens = 5}) end
local before = resident_kib()
local calls = {}
for i = 1, 100 do
  calls[i] = chat_start(f.vms[1], {tokens = 4000, stall_ms = 60000, timeout_ms = 90000})
end
local most = 0
for _ = 1, 12 do
  sleep_ms(250)
  most = math.max(most, resident_kib())
  local reply = chat(f.vms[1], {tokens = 5, timeout_ms = 5000})
  expect(is_complete(reply), "others are served: %s", reply.error or reply.body)
end
local each = (most - before) / 100
say("held for a stalled caller: %.1f KiB each (%d KiB before, %d at most)", each, before, most)
expect(each < 192, "bounded bytes for a caller: %.1f KiB", each)
eventually(20000, "stalled callers are cut", function()
  local reply = http{address = f.vms[1].address, path = "/metrics"}
  local count = tonumber(reply.body:match("requests_in_progress (%d+)"))
  return count <= 1
end)

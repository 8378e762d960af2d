-- A streamed chat is admitted, placed, streamed back and billed once, and its bill
-- is visible on every VM. An order runs once; a repeated order gets the recorded
-- outcome.

local f = fleet{vms = 3}
f:engine("engine1")
f:engine("engine2")
f:service("desk1")
f:configure_basics(10000)

local reply = chat(f.vms[1], {tokens = 20})
expect(is_complete(reply), "a complete response, got %s %s", reply.status, reply.error or reply.body)

local plain = chat(f.vms[2], {tokens = 5, stream = false})
expect(plain.status == 200, "an answer in one piece: %s", plain.body)
local used = json_decode(plain.body).usage.total_tokens

for _, vm in ipairs(f.vms) do
  eventually(3000, "the bill shows at " .. vm.name, function()
    local row = f:spend("stall", vm)
    return row and row.spent == 20 + 6 + used
  end)
end

local first = order(f.vms[1], "crate-1", "one pallet")
expect(first.status == 200, "an order: %s %s", first.status, first.body)
local again = order(f.vms[2], "crate-1", "one pallet")
expect(again.status == 200 and again.headers["Idempotency-Replayed"] == "true",
       "the order's outcome again: %s %s", again.status, again.body)
expect(account(f.services[1]).bodies["one pallet"] == 1, "the order ran once")

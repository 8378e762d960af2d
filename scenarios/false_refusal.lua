-- Targets answer what they may have executed with statuses by which callers would
-- take it for not executed. A call that must run at most once gets 502 and the
-- verdict may-have-run, also when its recorded outcome is replayed.

local f = fleet{vms = 2}
f:service("desk1")
f:engine("engine1")
f:configure_basics(1000)
local desk, engine = f.services[1], f.engines[1]

local function expect_in_doubt(reply, what)
  expect(reply.status == 502, "%s: status %s", what, reply.status)
  expect(verdict_of(reply) == "may-have-run", "%s: verdict %s", what, verdict_of(reply))
end

-- A status that promises nothing is passed on.
switch(desk, {status = 504})
expect(order(f.vms[1], nil, "pallet 504").status == 504, "504 is passed on")

for _, status in ipairs{408, 421, 429, 503} do
  switch(desk, {status = 200})
  expect(order(f.vms[1], nil, "pallet").status == 200, "a sound order")
  switch(desk, {status = status})
  local body = "pallet " .. status
  expect_in_doubt(order(f.vms[1], nil, body), "order without a key, " .. status)
  local key = "order-" .. status
  expect_in_doubt(order(f.vms[1], key, body .. "k"), "order with a key, " .. status)
  expect_in_doubt(order(f.vms[2], key, body .. "k"), "order with a key again, " .. status)
  local bodies = account(desk).bodies
  expect(bodies[body] == 1 and bodies[body .. "k"] == 1, "%s: orders ran once", status)
  local read = order(f.vms[1], nil, body .. "r", {route = "stock"})
  expect(read.status == status, "a call that may be repeated: %s", read.status)
end

-- A chat is refused by as many targets as it is sent to.
local same_engine = {}
for i = 2, 4 do
  same_engine[#same_engine + 1] = target_change(
    {name = "engine" .. i, address = engine.address}, "chat", "v1")
end
f:change(same_engine)
for _, status in ipairs{429, 503} do
  switch(engine, {refuse = status})
  local reply = chat(f.vms[1])
  expect(reply.status == 503 and verdict_of(reply) == "may-have-run",
         "chat: %s %s", reply.status, verdict_of(reply))
end

-- A version whose targets do so has failed.
switch(desk, {status = 200})
local bad = f:service("desk2")
f:change{target_change(bad, "orders", "v2")}
switch(bad, {status = 429})
f:change{{kind = "move", name = "bad-move", route = "orders", from = "v1", to = "v2",
          deadline_ms = wall_ms() + 8000}}
local sent = 0
local row = eventually(15000, "the move has ended", function()
  for _ = 1, 20 do
    sent = sent + 1
    order(f.vms[sent % 2 + 1], nil, "moved " .. sent)
  end
  local _, body = operator(f.vms[1], "GET", "status")
  for _, candidate in ipairs(body.moves) do
    if candidate.move == "bad-move" and candidate.state ~= "open" then return candidate end
  end
end)
expect(row.state == "taken back", "the failing move is taken back: %s", row.state)

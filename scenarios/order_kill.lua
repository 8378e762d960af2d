-- A VM is killed at different times while it handles an order, and the caller
-- retries through another VM. The service runs the order at most once, and a retry
-- that isn't answered with 200 gets the verdict may-have-run.

local f = fleet{vms = 3}
f:service("desk1", {delay_ms = 60})
f:configure_basics(1000)

local ran, doubted = 0, 0
for step = 0, 10 do
  local key, body = "order-" .. step, "pallet " .. step
  local handle = order_start(f.vms[1], key, body)
  sleep_ms(step * 20)
  kill(f.vms[1])
  call_wait(handle)
  local retry = order(f.vms[2 + step % 2], key, body)
  local runs = account(f.services[1]).bodies[body] or 0
  expect(runs <= 1, "order %d ran %d times", step, runs)
  if retry.status == 200 then
    ran = ran + 1
    expect(runs == 1, "an order answered with 200 ran")
  else
    doubted = doubted + 1
    expect(verdict_of(retry) == "may-have-run", "order %d: %s", step, retry.body)
  end
  f:start_vm(f.vms[1])
  f:await_ready(f.vms[1])
end
say("11 orders: %d answered, %d in doubt", ran, doubted)
expect(ran > 0, "some are answered")

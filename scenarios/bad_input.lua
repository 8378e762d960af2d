-- Invalid requests are answered with a typed error and a verdict, and release
-- the tokens that they reserved.

local f = fleet{vms = 1}
f:engine("engine1")
f:service("desk1")
f:configure_basics(1000)
local vm = f.vms[1]

local function raw(path, body, headers, method)
  headers = headers or {Authorization = "Bearer stall-key"}
  return http{address = vm.address, method = method or "POST", path = path, headers = headers, body = body}
end

local function refused(status, code, reply)
  expect(reply.status == status, "%s: status %s, not %s: %s", code, reply.status, status, reply.body)
  expect(reply.headers["X-Verdict"] == "not-run", "%s: verdict %s", code, reply.headers["X-Verdict"])
  expect(json_decode(reply.body).error.code == code, "%s: %s", code, reply.body)
end

local chat_path = "/v1/chat/completions"
local function with(extra)
  return '{"model":"chat","messages":[{"role":"user","content":"x"}]' .. extra .. '}'
end
refused(400, "invalid_request", raw(chat_path, "{not json"))
refused(400, "invalid_request", raw(chat_path, "[]"))
refused(400, "invalid_request", raw(chat_path, '{"model":"chat","messages":[]}'))
refused(400, "invalid_request", raw(chat_path, '{"model":"chat","messages":[{"role":"user","content":7}]}'))
refused(400, "invalid_request", raw(chat_path, with(',"max_tokens":-5')))
refused(400, "invalid_request", raw(chat_path, with(',"max_tokens":99999999999999999999')))
refused(400, "invalid_request", raw(chat_path, with(',"max_tokens":1.5')))
refused(400, "invalid_request", raw(chat_path, with(',"stream":"yes"')))
refused(404, "route_unknown", raw(chat_path, '{"model":"none","messages":[{"role":"user","content":"x"}]}'))
refused(404, "route_unknown", raw("/v1/services/none/x", ""))
refused(404, "route_unknown", raw("/v1/services/chat/x", ""))
refused(401, "key_required", raw(chat_path, with(""), {}))
refused(401, "key_unknown", raw(chat_path, with(""), {Authorization = "Bearer wrong"}))
refused(401, "key_unknown", raw("/operator/v1/status", "", {Authorization = "Bearer stall-key"}, "GET"))
refused(401, "key_unknown", raw(chat_path, with(""), {Authorization = "Bearer " .. OPERATOR_KEY}))
refused(405, "method_not_allowed", raw(chat_path, "", nil, "GET"))
refused(404, "not_found", raw("/nowhere", ""))
refused(413, "body_too_large", raw(chat_path, string.rep("x", 2 * 1024 * 1024)))
refused(431, "head_too_large", raw(chat_path, with(""), {Authorization = "Bearer " .. string.rep("k", 40000)}))
refused(400, "invalid_key", raw("/v1/services/orders/x", "",
  {Authorization = "Bearer stall-key", ["Idempotency-Key"] = string.rep("k", 300)}))
refused(402, "budget_exhausted", raw(chat_path, with(',"max_tokens":2000')))
local operators = {Authorization = "Bearer " .. OPERATOR_KEY}
refused(400, "invalid_intent", raw("/operator/v1/intents", "{", operators))
refused(400, "invalid_intent", raw("/operator/v1/intents", '[{"kind":"top-up","workspace":"stall","tokens":1e30}]', operators))
refused(404, "plan_unknown", raw("/operator/v1/plans/none", "", operators, "GET"))

local metrics = http{address = vm.address, path = "/metrics"}.body
expect(metrics:find('errors_total{code="invalid_request"}', 1, true), "errors are counted")
expect(not process_output(vm.name):find("stall%-key"), "no key is in the log")

-- The whole budget can still be spent: 1000 tokens are enough for 62 requests of
-- 16 tokens, and no more.
local good = 0
for _ = 1, 70 do
  if is_complete(chat(vm, {tokens = 10})) then good = good + 1 end
end
say("answered %d with a budget for 62 at the most", good)
expect(good >= 59 and good <= 62, "no reservation leaked: %d answered", good)

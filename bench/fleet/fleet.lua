-- Benchmarks of real processes on loopback: the latency that routing adds to a
-- response, throughput, and the resources of an idle daemon. Run by
-- scripts/bench.sh.

local f = fleet{vms = 8, platform = {list_lag_ms = 0, appends_per_s = 500}}
local engines = {}
for i = 1, 4 do engines[i] = f:engine("engine" .. i, {capacity = 2000, first_ms = 5, between_ms = 4}) end
f:configure_basics(1000000000000)

local routed_headers = {Authorization = "Bearer stall-key"}
local ticks_per_second = 100

-- Returns the processor time of a VM's daemon in seconds, and its resident memory
-- in KiB.
local function usage(vm)
  local file = io.open("/proc/" .. vm.pid .. "/stat")
  local fields = {}
  for field in file:read("a"):match("%) (.*)"):gmatch("%S+") do fields[#fields + 1] = field end
  file:close()
  local rss
  for line in io.lines("/proc/" .. vm.pid .. "/status") do
    rss = rss or line:match("VmRSS:%s+(%d+)")
  end
  return (tonumber(fields[12]) + tonumber(fields[13])) / ticks_per_second, tonumber(rss)
end

-- Runs a function and prints the highest processor and memory use of a daemon,
-- and the traffic of the log meanwhile.
local function costs(label, seconds, during)
  local cpu, bytes = {}, account(f.platform)
  for i, vm in ipairs(f.vms) do cpu[i] = usage(vm) end
  local begun = now_ms()
  local result = during()
  local span = (now_ms() - begun) / 1000
  local most_cpu, most_rss = 0, 0
  for i, vm in ipairs(f.vms) do
    local used, rss = usage(vm)
    most_cpu = math.max(most_cpu, (used - cpu[i]) / span)
    most_rss = math.max(most_rss, rss)
  end
  local after = account(f.platform)
  say("%-34s a daemon: %.2f %% of a core, %.1f MiB resident; log: %.1f KB/s in, %.1f KB/s out a daemon, %.1f appends/s",
      label, 100 * most_cpu, most_rss / 1024,
      (after.bytes_in - bytes.bytes_in) / span / 1000 / #f.vms,
      (after.bytes_out - bytes.bytes_out) / span / 1000 / #f.vms,
      (after.appends - bytes.appends) / span)
  return result
end

local function show(label, r)
  say("%-34s %5d sent, %5d good; first token p50 %.2f p99 %.2f ms; total p50 %.1f p99 %.1f ms; %.0f req/s, %.0f tokens/s",
      label, r.sent, r.good, r.first_p50_ms, r.first_p99_ms, r.total_p50_ms, r.total_p99_ms,
      r.per_second, r.tokens_per_second)
end

local vm_addresses = {}
for i, vm in ipairs(f.vms) do vm_addresses[i] = vm.address end
local direct_addresses = {}
for i, engine in ipairs(engines) do direct_addresses[i] = engine.address end

costs("at rest, 10 s", 10, function() sleep_ms(10000) end)

-- Warm-up: lets the grants adapt to the demand before the measurements.
load_run{addresses = vm_addresses, per_second = 200, seconds = 3, tokens = 10, headers = routed_headers}

for _, engine in ipairs(engines) do switch(engine, {between_ms = 20}) end
for _, streams in ipairs{50, 500} do
  -- A response of 24 tokens takes about half a second.
  local rate = streams * 2
  local direct = load_run{addresses = direct_addresses, per_second = rate, seconds = 4, tokens = 24,
                          headers = {["X-Owner"] = "bench", ["X-Tag"] = "bench"}}
  show("direct, " .. streams .. " streams", direct)
  local through = costs("routed, " .. streams .. " streams", 4, function()
    return load_run{addresses = vm_addresses, per_second = rate, seconds = 4, tokens = 24, headers = routed_headers}
  end)
  show("routed, " .. streams .. " streams", through)
  say("added: first token p50 %.2f ms, p99 %.2f ms",
      through.first_p50_ms - direct.first_p50_ms, through.first_p99_ms - direct.first_p99_ms)
end

for _, engine in ipairs(engines) do switch(engine, {between_ms = 4}) end
for _, rate in ipairs{500, 1000, 2000} do
  show("8 daemons at " .. rate .. "/s", costs("8 daemons at " .. rate .. "/s", 4, function()
    return load_run{addresses = vm_addresses, per_second = rate, seconds = 4, tokens = 4, headers = routed_headers}
  end))
end
for _, rate in ipairs{250, 500, 1000} do
  show("1 daemon at " .. rate .. "/s",
       load_run{addresses = {f.vms[1].address}, per_second = rate, seconds = 3, tokens = 4, headers = routed_headers})
end

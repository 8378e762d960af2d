#!/usr/bin/env bash
# Runs the unit tests and the traffic path under the address and undefined
# behaviour sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake --preset sanitize >/dev/null
cmake --build --preset sanitize --target unit_tests scenario | tail -1
export ASAN_OPTIONS=detect_leaks=0
build-sanitize/test/unit_tests --gtest_filter='-MoveFleet.*:LedgerFleet.*:ClaimFleet.*' --gtest_brief=1
for scenario in whole_path crash_mid_stream bad_input; do
  build-sanitize/scenarios/scenario scenarios/prelude.lua "scenarios/$scenario.lua"
done

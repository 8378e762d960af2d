#!/usr/bin/env bash
# Runs the unit and fuzz tests under the address and undefined behaviour
# sanitizers. The models run thousands of seeds and are left to scripts/test.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake --preset sanitize >/dev/null
cmake --build --preset sanitize --target unit_tests | tail -1
export ASAN_OPTIONS=detect_leaks=0
build-sanitize/test/unit_tests --gtest_filter='-MoveFleet.*:LedgerFleet.*:ClaimFleet.*:EscrowFleet.*' --gtest_brief=1

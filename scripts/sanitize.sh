#!/usr/bin/env bash
# Runs the unit and fuzz tests under the address and undefined behaviour
# sanitizers, a part of them on each core. The models run thousands of seeds and
# are left to scripts/test.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake --preset sanitize >/dev/null
cmake --build --preset sanitize --target unit_tests | tail -1
export ASAN_OPTIONS=detect_leaks=0
export GTEST_TOTAL_SHARDS
GTEST_TOTAL_SHARDS=$(nproc)
parts=()
for ((part = 0; part < GTEST_TOTAL_SHARDS; ++part)); do
  GTEST_SHARD_INDEX=$part build-sanitize/test/unit_tests --gtest_brief=1 \
    --gtest_filter='-MoveFleet.*:LedgerFleet.*:ClaimFleet.*:EscrowFleet.*' &
  parts+=($!)
done
failed=0
for part in "${parts[@]}"; do
  wait "$part" || failed=1
done
exit "$failed"

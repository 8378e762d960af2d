#!/usr/bin/env bash
# Builds and runs all benches, one table after the other.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake --preset release >/dev/null
cmake --build --preset release | tail -1
echo "== grants"; build/bench/bench_grants 3
echo "== version moves"; build/bench/bench_moves 20
echo "== slopes"; build/bench/bench_slopes
echo "== fleet"; build/scenarios/scenario scenarios/prelude.lua bench/fleet/fleet.lua

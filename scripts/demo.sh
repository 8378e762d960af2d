#!/usr/bin/env bash
# Builds the programs and runs the demonstration fleet on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake --preset release >/dev/null
cmake --build --preset release --target scenario | tail -1
exec build/scenarios/scenario scenarios/prelude.lua scenarios/demo.lua

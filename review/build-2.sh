#!/usr/bin/env bash
# Builds the stand-ins and drivers that the cases of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/harness-2 -B target-review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target-review-2

#!/usr/bin/env bash
# Installs what is needed, builds, and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake --preset release >/dev/null
cmake --build --preset release
ctest --preset release -j 4 "$@"

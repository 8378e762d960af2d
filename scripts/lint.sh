#!/usr/bin/env bash
# Checks format and lint of all C++ sources.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run --Werror
cmake --preset tidy >/dev/null
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy -p build-tidy --quiet 2>/dev/null
echo "format and lint are clean"

#!/usr/bin/env bash
# Builds the version that the deploy file names as the one in production, and
# runs the tests of upgrades with daemons of both builds.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
production=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/system.toml)
folder="build/production-$production"
if [ ! -d "$folder" ]; then
  git clone --quiet . "$folder"
  git -C "$folder" checkout --quiet "$production"
fi
cmake -S "$folder" -B "$folder/target" -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DGOLDCRESTNOTCH_TESTS=OFF >/dev/null
cmake --build "$folder/target" --target goldcrestnotchd
cmake --preset release >/dev/null
cmake --build --preset release
GOLDCRESTNOTCH_EARLIER="$PWD/$folder/target/app/goldcrestnotchd" \
  build/test/upgrade_tests "$@"

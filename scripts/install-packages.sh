#!/usr/bin/env bash
# Installs what the build, the checks and the tests need. Debian 12.
set -euo pipefail
packages="g++ cmake ninja-build ccache clang-format clang-tidy git
  libboost-dev libboost-program-options-dev libboost-coroutine-dev
  libwebsocketpp-dev liblog4cplus-dev libtomlplusplus-dev nlohmann-json3-dev
  libxxhash-dev liblua5.4-dev libssl-dev libgtest-dev libclang-rt-14-dev"
missing=$(for package in $packages; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || echo "$package"
done)
if [ -n "$missing" ]; then
  run=""
  [ "$(id -u)" -eq 0 ] || run=sudo
  $run apt-get update -qq
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive $run apt-get install -y -qq $missing >/dev/null
fi

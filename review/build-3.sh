#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into target/review-3, after the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++20 -O1 -DBOOST_COROUTINES_NO_DEPRECATION_WARNING
  -DBOOST_ALLOW_DEPRECATED_HEADERS
  -Isrc -Istandin -Iscenarios/runner"
libraries="target/src/libgoldcrestnotch.a -lboost_coroutine -lboost_context
  -lboost_program_options -lcrypto -llog4cplus -lxxhash -lpthread"
objects=""
for source in standin/users_store standin/users_replica standin/faulty_link \
  standin/standin scenarios/runner/process; do
  object="$out/$(basename "$source").o"
  # shellcheck disable=SC2086
  "${CXX:-g++}" $flags -c "$source.cpp" -o "$object"
  objects="$objects $object"
done
for source in review/1[1-5]/case.cpp; do
  [ -f "$source" ] || continue
  # shellcheck disable=SC2086
  "${CXX:-g++}" $flags "$source" $objects $libraries \
    -o "$out/case-$(basename "$(dirname "$source")")"
done

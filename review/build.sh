#!/usr/bin/env bash
# Builds the programs of the cases into target-review/. The deploy file's build
# must have run before: its library is linked.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=target-review
mkdir -p "$OUT"
FLAGS="-std=c++20 -O2 -Wall -Wextra -Wno-maybe-uninitialized -Isrc -Istandin
  -DBOOST_COROUTINES_NO_DEPRECATION_WARNING -DBOOST_ALLOW_DEPRECATED_HEADERS"
SOURCES="standin/standin.cpp standin/users_store.cpp standin/faulty_link.cpp
  review/common/deployment.cpp $(ls review/[1-5]/*.cpp)"
object() { echo "$OUT/$(echo "${1%.cpp}" | tr / _).o"; }
for SOURCE in $SOURCES; do
  # shellcheck disable=SC2086
  g++ $FLAGS -c "$SOURCE" -o "$(object "$SOURCE")" &
  PIDS="${PIDS:-} $!"
done
for ID in $PIDS; do wait "$ID"; done
for SOURCE in review/[1-5]/*.cpp; do
  g++ "$(object "$SOURCE")" \
    "$OUT/review_common_deployment.o" "$OUT/standin_standin.o" \
    "$OUT/standin_users_store.o" "$OUT/standin_faulty_link.o" \
    target/src/libgoldcrestnotch.a \
    -lboost_program_options -lboost_coroutine -lboost_chrono -lboost_thread \
    -lboost_atomic -lboost_context -lcrypto -llog4cplus -lxxhash -pthread \
    -o "$OUT/$(basename "${SOURCE%.cpp}")"
done

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 no replica fails.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/case-11
if [ ! -x "$program" ] || [ ! -x target/app/goldcrestnotchd ]; then
  echo "build the deploy file and run review/build-3.sh first" >&2
  exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 5 110 "$program" review/11/record.txt &
group=$! # timeout leads a process group, to which the daemons belong
wait "$group"
result=$?
kill -KILL -- "-$group" 2>/dev/null # what a driver that failed has left
[ "$result" -le 1 ] || result=2
exit "$result"

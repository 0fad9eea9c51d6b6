#!/usr/bin/env bash
# Machines of the core are replaced as planned. Two orders of events, at the same time and on addresses of their own:
# one replacement and then a lost disk, and the replacement of all three machines.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
mkdir "$dir/1" "$dir/2"
NETWORK=$((${NETWORK:-60} + 1)) target/review-two replaced "$dir/1" >/dev/null &
first=$!
NETWORK=$((${NETWORK:-60} + 2)) target/review-two moved "$dir/2" >/dev/null &
second=$!
trap 'kill $first $second 2>/dev/null; wait; rm -rf "$dir"; exit 2' INT TERM HUP
wait $first
a=$?
wait $second
b=$?
{
  echo "== one replacement, and right after it a lost disk: $a"
  cat "$dir/1/record.txt"
  echo "== replacement of all three machines, with no fault at all: $b"
  cat "$dir/2/record.txt"
} >"$here/record.txt"
grep '^==' "$here/record.txt"
if [ $a -eq 1 ] || [ $b -eq 1 ]; then exit 1; fi
if [ $a -eq 0 ] && [ $b -eq 0 ]; then exit 0; fi
exit 2

#!/usr/bin/env bash
# Starts the system at today's sizes and prints what control costs each kind of
# node, idle and while one host after the other is drained and brought back, and how
# long a change takes to be in force on every node. Usage: measure.sh BIN [SECONDS]
set -euo pipefail

bin=$(cd "$1" && pwd)
seconds=${2:-20}
name=measure
source "$(dirname "$0")/system.sh"

# metric IP:PORT PATTERN prints the sum of the matching metrics.
metric() {
  exec 3<>"/dev/tcp/${1%:*}/${1#*:}"
  printf 'GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3
  awk -v p="$2" '$0 ~ p { n += $2 } END { printf "%.3f\n", n }' <&3
  exec 3<&-
}

balancer=$net.11:17101
agent=$net.1:17216
control_status=$net.1:17011

sample() {
  local a
  for a in "$balancer" "$agent" "$control_status"; do
    metric "$a" '^mangokeel_call_bytes_total'
    metric "$a" '^process_cpu_seconds_total'
  done
}

# cost PHASE prints rates between two samples.
cost() {
  local phase=$1 before after
  shift
  before=$(sample)
  local t0=$SECONDS
  "$@"
  after=$(sample)
  paste <(echo "$before") <(echo "$after") | awk -v s=$((SECONDS - t0)) -v phase="$phase" '
    { d[NR] = ($2 - $1) / s }
    END {
      split("balancer agent control", kind, " ")
      for (i = 1; i <= 3; i++)
        printf "measure: %s %s call_bytes_per_s=%.0f cpu_percent=%.2f\n", phase, kind[i], d[2*i-1], 100 * d[2*i]
    }'
}

roll() {
  local i
  for i in 1 2 3 4 5 6 7; do
    client drain "/sieste/drains/dispatch-$i" >/dev/null
    sleep 2
    client undrain "/sieste/drains/dispatch-$i" >/dev/null
    sleep 1
  done
}

cost idle sleep "$seconds"
cost roll roll
for a in "$balancer" "$agent" "$control_status"; do
  echo "$name: resident $a $(metric "$a" '^process_resident_memory_bytes' | awk '{printf "%.1f MB", $1 / 1e6}')"
done
for i in 1 2 3 4 5; do
  begin=$(date +%s%N)
  revision=$(client drain /cnoc/drains/orders-1 | grep -o "[0-9]*$")
  client wait "$revision" >/dev/null
  echo "$name: in force after $(( ($(date +%s%N) - begin) / 1000000 )) ms"
  client undrain /cnoc/drains/orders-1 >/dev/null
  sleep 1
done

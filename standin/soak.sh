#!/usr/bin/env bash
# Runs load of both users' kinds while faults of every kind happen in an order that
# depends only on the seed, and prints one line of counts. Flows may break only on
# hosts whose agent was killed or whose availability zone was taken out, and over TCP
# when a balancer was killed.
# The faults are written to events.tsv: seconds since the load began, tab, text.
# With OUT=DIR in the environment, the callers' reports and the events are kept in DIR
# together with plots and a page of figures, also when the verdict is a failure.
# Usage: soak.sh BIN [SECONDS] [SEED]
set -euo pipefail

bin=$(cd "$1" && pwd)
seconds=${2:-60}
SEED=${3:-1}
name=soak
source "$(dirname "$0")/system.sh"

echo "$name: seed=$SEED seconds=$seconds"
# now prints microseconds; the locale may put a comma into EPOCHREALTIME.
now() { echo "${EPOCHREALTIME//[.,]/}"; }
began=$(now)
: >"$dir/events.tsv"
load
RANDOM=$SEED
faulty=()
allow=(--unknown)

say() {
  local ms=$((($(now) - began) / 1000))
  echo "$name: t=$((ms / 1000)) $*"
  printf '%d.%03d\t%s\n' $((ms / 1000)) $((ms % 1000)) "$*" >>"$dir/events.tsv"
}
keep() {
  [ -n "${OUT:-}" ] || return 0
  mkdir -p "$OUT"
  local n files=()
  for n in dispatch manuals orders patterns; do files+=(--report "$OUT/$n.json"); done
  cp "$dir"/{dispatch,manuals,orders,patterns}.json "$dir/events.tsv" "$OUT/"
  "$bin/standin" report "${files[@]}" --hosts dispatch:7 --hosts manuals:3 --hosts orders:7 --hosts patterns:3 \
    --events "$OUT/events.tsv" --out "$OUT"
}
pick() { picked=$((RANDOM % $1 + 1)); }
try() { for _ in 1 2 3 4 5; do "$@" >/dev/null 2>&1 && return 0; sleep 0.5; done; say "failed: $*"; return 1; }

kill_balancer() {
  local i=$1
  [ "$leaving" != "$i" ] || return 0
  say "kill balancer-$i"
  allow+=(--tcp)
  kill -9 "${pid[balancer-$i]}"
  sleep 2
  start_balancer "$i"
}
# leaving is the balancer that was stopped and still has TCP connections.
leaving=0
stop_balancer() {
  [ "$leaving" = 0 ] || return 0
  leaving=$1
  say "stop balancer-$leaving"
  kill "${pid[balancer-$leaving]}"
}
restart_stopped() {
  if [ "$leaving" != 0 ] && ! kill -0 "${pid[balancer-$leaving]}" 2>/dev/null; then
    say "start balancer-$leaving"
    start_balancer "$leaving"
    leaving=0
  fi
}
kill_control() {
  local i=$1
  say "kill control-$i"
  kill -9 "${pid[control-$i]}"
  sleep 3
  start_control "$i"
}
freeze_control() {
  local i=$1
  say "freeze control-$i"
  kill -STOP "${pid[control-$i]}"
  sleep 5
  kill -CONT "${pid[control-$i]}"
}
drain_host() {
  local n=dispatch-$1
  say "drain $n"
  try client drain "/sieste/drains/$n"
  sleep 4
  try client undrain "/sieste/drains/$n"
}
kill_agent() {
  local n=orders-$1
  say "kill agent of $n"
  faulty+=(--faulty "$n")
  kill -9 "${pid[agent-$n]}"
  sleep 1
  start_agent "$n"
}
cold_target() {
  say "target orders-$1 turns cold"
  turn_cold "$1"
}
move_zone() {
  local z=${zones_cnoc[$(($1 - 1))]} i
  say "zone $z out"
  for i in 1 2 3 4 5 6 7; do [ "${zones_cnoc[$((i % 3))]}" = "$z" ] && faulty+=(--faulty "orders-$i"); done
  for i in 1 2 3; do [ "${zones_cnoc[$((i % 3))]}" = "$z" ] && faulty+=(--faulty "patterns-$i"); done
  try client zone out "/cnoc/zones/$z"
  sleep 6
  say "zone $z back"
  try client zone back "/cnoc/zones/$z"
}

begin=$SECONDS
while [ $((SECONDS - begin)) -lt $((seconds - 14)) ]; do
  # Both numbers are drawn for every fault, so that the order does not depend on
  # what a fault does.
  pick 8
  kind=$picked
  pick 3
  which=$picked
  case $kind in
    1) kill_balancer "$which" ;;
    2) stop_balancer "$which" ;;
    3) kill_control "$which" ;;
    4) freeze_control "$which" ;;
    5) drain_host "$which" ;;
    6) kill_agent "$which" ;;
    7) cold_target "$which" ;;
    8) move_zone "$which" ;;
  esac
  sleep 1
  restart_stopped
done
for p in "${callers[@]}"; do wait "$p"; done
verdict=0
"$bin/standin" verdict --name "$name" "${allow[@]}" "${faulty[@]}" "${reports[@]}" "${ledgers[@]}" || verdict=$?
keep
exit "$verdict"

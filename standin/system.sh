#!/usr/bin/env bash
# Functions that start a whole system with stand-ins on loopback. Scripts source
# this file after they have set bin, seconds and name.
# Runs with different networks do not meet.
net=127.0.${NETWORK:-0}
dir=$(mktemp -d)
# pid has the process id of each process by name.
declare -A pid

finish() {
  status=$?
  for p in "${pid[@]}"; do kill -CONT "$p" 2>/dev/null || true; kill "$p" 2>/dev/null || true; done
  for p in "${pid[@]}"; do
    for _ in $(seq 50); do kill -0 "$p" 2>/dev/null || break; sleep 0.1; done
    kill -9 "$p" 2>/dev/null || true
  done
  if [ "$status" -ne 0 ]; then
    echo "$name: failed; errors in the logs:" >&2
    grep -hE 'level=error|panic|^standin:' "$dir"/*.log | tail -n 20 >&2 || true
  fi
  if [ -n "${KEEP:-}" ]; then echo "kept $dir"; else rm -rf "$dir"; fi
  exit "$status"
}
trap finish EXIT

# start NAME COMMAND... runs a process in the background with a log of its own.
start() {
  local n=$1
  shift
  "$@" >>"$dir/$n.log" 2>&1 &
  pid[$n]=$!
}

wait_for() { # IP:PORT
  for _ in $(seq 100); do
    if (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "$name: nothing listens on $1" >&2
  return 1
}

turn_cold() { # NUMBER of the host of orders whose target turns cold
  local n=$1
  (exec 3<>"/dev/tcp/$net.1/$((17405 + 10 * n))" && printf 'POST /cold HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' >&3 && cat <&3 >/dev/null) || true
}

control=($net.1:17001 $net.1:17002 $net.1:17003)
zones_sieste=(port-louis plaisance ebene)
zones_cnoc=(dublin-1 dublin-2 dublin-3)
client() { "$bin/mangokeel" --control "$(IFS=,; echo "${control[*]}")" --key "$dir/operator.key" "$@"; }

start_control() { start "control-$1" "$bin/control" --config "$dir/control-$1.yaml"; }
start_balancer() { start "balancer-$1" "$bin/balancer" --config "$dir/balancer-$1.yaml"; }
start_agent() { start "agent-$1" "$bin/agent" --config "$dir/$1.yaml"; }

echo "$name: starting control"
head -c 24 /dev/urandom | base64 | tr -d '\n' >"$dir/operator.key"
hash=$(sha256sum <"$dir/operator.key" | cut -d' ' -f1)
for i in 1 2 3; do
  mkdir "$dir/control-$i"
  cat >"$dir/control-$i.yaml" <<YAML
name: control-$i
zone: ${zones_sieste[$((i - 1))]}
address: $net.1:1700$i
status: $net.1:1701$i
data: $dir/control-$i
operator: $hash
members:
  - {name: control-1, address: $net.1:17001}
  - {name: control-2, address: $net.1:17002}
  - {name: control-3, address: $net.1:17003}
YAML
  start_control "$i"
done
for a in "${control[@]}"; do wait_for "$a"; done
for i in 1 2 3; do
  kill -0 "${pid[control-$i]}" 2>/dev/null || { echo "$name: control-$i did not start; is another run on $net?" >&2; exit 1; }
done

# service TEAM NAME PORT ZONES RULES
service() {
  cat >"$dir/$1-$2.yaml" <<YAML
address: $net.1:$3
protocol: http
zones: [$4]
slots: 2
connections: 2000
queue: 32
wait: 2s
drain: 8h
claims: 10m
rules:
  - {prefix: /feed, class: normal, stream: true}
  - {prefix: /download, class: bulk, stream: true}
  - {method: POST, prefix: /bookings, class: urgent, once: true}
  - {prefix: /stock, class: urgent}
YAML
  for _ in $(seq 50); do
    client set "/$1/services/$2" --file "$dir/$1-$2.yaml" >"$dir/set.log" 2>&1 && return 0
    sleep 0.2
  done
  cat "$dir/set.log" >&2
  return 1
}
service sieste dispatch 17080 "port-louis, plaisance, ebene"
service sieste manuals 17081 "port-louis, plaisance, ebene"
service cnoc orders 17082 "dublin-1, dublin-2, dublin-3"
service cnoc patterns 17083 "dublin-1, dublin-2, dublin-3"

echo "$name: starting balancers, targets, agents and the fabric"
"$bin/standin" cert --dir "$dir" --ip "$net.1"
controls=$(IFS=,; echo "${control[*]}")
for i in 1 2 3; do
  cat >"$dir/balancer-$i.yaml" <<YAML
name: balancer-$i
zone: ${zones_sieste[$((i - 1))]}
address: $net.1$i
data: $net.1$i:17100
status: $net.1$i:17101
control: [$controls]
YAML
  start_balancer "$i"
done

ledgers=()
# host TEAM SERVICE NUMBER PORT ZONE; three ports for each host: agent, target, claims.
host() {
  local n="$2-$3"
  cat >"$dir/$n.yaml" <<YAML
name: $n
zone: $5
service: /$1/services/$2
address: $net.1:$4
target: $net.1:$(($4 + 5))
status: $net.1:$(($4 + 6))
control: [$controls]
cert: $dir/cert.pem
key: $dir/key.pem
YAML
  start "target-$n" "$bin/standin" target --listen "$net.1:$(($4 + 5))" --host "$n"
  start_agent "$n"
  ledgers+=(--target "http://$net.1:$(($4 + 5))")
}
for i in 1 2 3 4 5 6 7; do host sieste dispatch "$i" $((17200 + 10 * i)) "${zones_sieste[$((i % 3))]}"; done
for i in 1 2 3; do host sieste manuals "$i" $((17300 + 10 * i)) "${zones_sieste[$((i % 3))]}"; done
for i in 1 2 3 4 5 6 7; do host cnoc orders "$i" $((17400 + 10 * i)) "${zones_cnoc[$((i % 3))]}"; done
for i in 1 2 3; do host cnoc patterns "$i" $((17500 + 10 * i)) "${zones_cnoc[$((i % 3))]}"; done
for p in 17080 17081 17082 17083; do
  start "fabric-$p" "$bin/standin" fabric --listen "$net.1:$p" \
    --balancer "$net.11:$p" --balancer "$net.12:$p" --balancer "$net.13:$p"
done
for p in 17080 17081 17082 17083; do wait_for "$net.11:$p"; wait_for "$net.13:$p"; done
sleep 2

reports=()
callers=()
# callers NAME PORT ARGUMENTS...
callers() {
  local n=$1 p=$2
  shift 2
  "$bin/standin" caller --address "$net.1:$p" --cert "$dir/cert.pem" --duration "${seconds}s" \
    --seed "${SEED:-1}" --report "$dir/$n.json" "$@" >"$dir/caller-$n.log" 2>&1 &
  callers+=($!)
  pid[caller-$n]=$!
  reports+=(--report "$dir/$n.json")
}
# load starts callers of both users' kinds.
load() {
  callers dispatch 17080 --feeds 60 --bookers 12 --readers 8
  callers manuals 17081 --downloads 20 --readers 8
  callers orders 17082 --bookers 12 --readers 12
  callers patterns 17083 --downloads 20
}

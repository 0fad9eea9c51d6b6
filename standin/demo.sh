#!/usr/bin/env bash
# Runs load of both users' kinds through a fabric that hands each packet to a random
# balancer, drains one target and lets it join again, and prints one line of
# counts. Usage: demo.sh BIN [SECONDS]
set -euo pipefail

bin=$(cd "$1" && pwd)
seconds=${2:-30}
name=demo
source "$(dirname "$0")/system.sh"

echo "$name: load for $seconds s"
load

sleep $((seconds / 4))
echo "$name: drain of dispatch-3"
client drain /sieste/drains/dispatch-3
sleep $((seconds / 4))
echo "$name: dispatch-3 joins again"
client undrain /sieste/drains/dispatch-3
for p in "${callers[@]}"; do wait "$p"; done
"$bin/standin" verdict --name "$name" "${reports[@]}" "${ledgers[@]}"

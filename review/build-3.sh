#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 and later into target/review3/.
set -euo pipefail
cd "$(dirname "$0")/.."
export CGO_ENABLED=1
go build -o target/review3/standin3 ./review/_three

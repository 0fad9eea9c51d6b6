#!/bin/sh
# Builds the stand-ins that the scripts start, into review/bin/. It needs Go only.
set -e
cd "$(dirname "$0")/.."
CGO_ENABLED=0 go build -o review/bin/standin ./review/_standin

#!/usr/bin/env bash
# All processes of the core are killed as one writes, and one machine loses its disk.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
NETWORK=${NETWORK:-70} exec target/review-two torn "$here"

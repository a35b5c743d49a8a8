#!/usr/bin/env bash
# Runs the command blocks of docs/OPERATIONS.md in order, as a reader would.
# Needs build/release, or another build folder as argument. Uses the ports
# 17000 to 17300 on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."

script=$(mktemp)
trap 'rm -f "$script"' EXIT
# Ends what the page started, by process id, if a command on it fails.
cat >"$script" <<'TRAP'
set -eEuo pipefail
trap 'echo "try-pages: failed at: $BASH_COMMAND" >&2; kill -9 $(jobs -p) 2>/dev/null; exit 1' ERR
TRAP
awk '/^ *```sh$/ { inside = 1; next } /^ *```$/ { inside = 0 } inside' \
  docs/OPERATIONS.md | sed "s#build/release#${1:-build/release}#" >>"$script"
timeout 120 bash "$script"
echo "try-pages: all well"

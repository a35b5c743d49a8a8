#!/usr/bin/env bash
# Installs, builds, checks format and lint, runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."

Utilities/install.sh
Utilities/check-format.sh
cmake --preset debug >/dev/null
cmake --build --preset debug
Utilities/check-lint.sh
if [ -f KNOWN-RED.txt ]; then
  echo "known red, by KNOWN-RED.txt:"
  cat KNOWN-RED.txt
fi
ctest --preset debug

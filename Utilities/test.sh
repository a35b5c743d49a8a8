#!/usr/bin/env bash
# Installs, builds, checks format and lint, runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."

Utilities/install.sh
Utilities/check-format.sh
cmake --preset debug >/dev/null
cmake --build --preset debug
Utilities/check-lint.sh
ctest --preset debug

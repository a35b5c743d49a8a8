#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md again, with real processes on
# loopback: a few minutes, at most 170 processes at once.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release >/dev/null
cmake --build --preset release >/dev/null
python3 Utilities/capacity.py

#!/usr/bin/env bash
# Runs clang-tidy on the sources. Needs the compile commands of build/debug.
# Files whose content and headers passed before are skipped by a stamp that
# holds a hash of all sources and the rules.
set -euo pipefail
cd "$(dirname "$0")/.."
files() { git ls-files --cached --others --exclude-standard "$@"; }
stamp=build/debug/lint-stamp
hash=$(cat .clang-tidy $(files '*.cxx' '*.h') | sha256sum)
if [ -f "$stamp" ] && [ "$(cat "$stamp")" = "$hash" ]; then
  echo "lint: clean (unchanged)"
  exit 0
fi
files 'Source/*.cxx' 'Tests/*.cxx' 'platform/*.cxx' |
  xargs -P "$(nproc)" -n 1 clang-tidy -p build/debug --quiet 2>/dev/null
echo "$hash" >"$stamp"
echo "lint: clean"

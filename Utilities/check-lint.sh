#!/usr/bin/env bash
# Runs clang-tidy on the sources. Needs the compile commands of build/debug.
# A file that passed before is skipped as long as neither it, a header of ours
# nor the rules have changed; its stamp in build/debug/lint holds their hash.
set -euo pipefail
cd "$(dirname "$0")/.."
files() { git ls-files --cached --others --exclude-standard "$@"; }
headers=$(cat .clang-tidy $(files '*.h') | sha256sum)
export headers

check() {
  local file=$1 stamp=build/debug/lint/$1 hash
  hash=$( (echo "$headers" && cat "$file") | sha256sum)
  if [ -f "$stamp" ] && [ "$(cat "$stamp")" = "$hash" ]; then
    return 0
  fi
  clang-tidy -p build/debug --quiet "$file" 2>/dev/null
  mkdir -p "$(dirname "$stamp")"
  echo "$hash" >"$stamp"
}
export -f check

files 'Source/*.cxx' 'Tests/*.cxx' 'platform/*.cxx' |
  xargs -P "$(nproc)" -n 1 bash -c 'set -euo pipefail; check "$1"' _
echo "lint: clean"

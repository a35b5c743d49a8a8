#!/usr/bin/env bash
# Fails if a source file is not as clang-format would write it.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.cxx' '*.h' |
  xargs clang-format --dry-run --Werror
echo "format: clean"

#!/usr/bin/env bash
# The stand-ins are Python programs that use the standard library only; this
# checks that they can be run. The programs under test are built by the deploy
# file's build command.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in standins/fleet.py [0-9]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done

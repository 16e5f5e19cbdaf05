#!/bin/sh
# Checks what the scripts of this review start besides the program of the deploy file: their stand-ins are
# Python programs without any package, so there is nothing to compile.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
for program in lib-2/harness.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$program"
done

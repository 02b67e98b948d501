#!/bin/sh
# Builds every stand-in that a script of cases 6 to 10 starts. They use Python's standard library
# only and run from their sources, so that building them checks that they compile.
set -e
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for file in stand_ins_2/deployment.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ ! -f "$file" ] || PYTHONPYCACHEPREFIX="$out" python3 -m py_compile "$file"
done

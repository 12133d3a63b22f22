#!/bin/bash
# Builds the stand-ins of the scripts in review/6 to review/10. They are written in Python and need no
# build; this checks that the interpreter is there and that each of them compiles.
set -e
cd "$(dirname "$0")"
for file in standin-2/standin.py [0-9]*/case.py; do
    case "$file" in [1-5]/*) continue ;; esac
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done

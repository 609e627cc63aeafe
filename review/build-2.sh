#!/bin/sh
# The stand-ins of cases 6 to 10 are written in Python 3 (tools-2) and need no build. This checks that they compile,
# without leaving anything behind, and that the build of the deploy file has left the program.
set -e
cd "$(dirname "$0")"
for file in tools-2/*.py 6/test.py 7/test.py 8/test.py 9/test.py 10/test.py; do
    if [ -e "$file" ]; then
        python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
    fi
done
test -x ../target/release/aldermill

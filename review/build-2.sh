#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They need the standard library only, so that this
# checks that they compile with the interpreter that runs them, and writes nothing.
set -e
cd "$(dirname "$0")"
python3 -S - harness-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
PYTHON
echo "stand-ins: ready"

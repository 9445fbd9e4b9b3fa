#!/bin/sh
# The stand-ins of cases 6 to 10 need only Python's standard library: this compiles them, so that
# a case that could not start is noticed here.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
folders = ["review/stand_ins_2", *(f"review/{number}" for number in range(6, 11))]
for folder in folders:
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_text(), str(path), "exec")
PYTHON

#!/bin/sh
# The stand-ins of cases 11 to 15 need only Python's standard library: this compiles them, so that
# a case that could not start is noticed here. The cases start no stand-in of the project's own.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
folders = ["review/stand_ins_3", *(f"review/{number}" for number in range(11, 16))]
for folder in folders:
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_text(), str(path), "exec")
PYTHON

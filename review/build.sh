#!/bin/sh
# Builds the stand-ins of all cases: they need nothing but Python and its standard library.
set -eu
cd "$(dirname "$0")"
python3 - <<'EOF'
import sys
from pathlib import Path

for path in sorted(Path(".").rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
print(f"stand-ins are in order, Python {sys.version.split()[0]}")
EOF

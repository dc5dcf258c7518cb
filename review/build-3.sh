#!/usr/bin/env bash
# The scripts of this review start only stand-ins in Python that need no build; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast
import pathlib

for folder in ("review/lib3", *(f"review/{n}" for n in range(11, 16)), "tests/platform"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        ast.parse(path.read_text(), str(path))
PY

#!/bin/sh
# Builds the stand-ins that the scripts start: Python modules that need the standard library alone.
# Checks that each compiles, and that the libraries of a gateway are there.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import pathlib
import sys

files = [
    *pathlib.Path("review").rglob("*.py"),
    pathlib.Path("tests/platform/free_ports.py"),
    pathlib.Path("tests/platform/platform_standin.py"),
    pathlib.Path("tests/soak/proxy.py"),
]
for file in files:
    compile(file.read_text(encoding="utf-8"), str(file), "exec")
if not pathlib.Path("target/deps").is_dir():
    sys.exit("target/deps is missing: run the build of deploy/system.toml first")
CHECK

#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can be loaded. They are plain
# Python without dependencies, so nothing has to be compiled or installed.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib

for path in sorted(pathlib.Path(".").glob("**/*.py")):
    ast.parse(path.read_text(), str(path))
    print("ok", path)
PYTHON

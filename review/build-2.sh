#!/usr/bin/env bash
# Checks that the stand-ins of the scripts in 6 to 10 can be loaded. They are
# plain Python without dependencies, so nothing has to be installed.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import ast
import pathlib

paths = [*pathlib.Path("lib-2").glob("*.py")]
for number in range(6, 11):
    paths += pathlib.Path(str(number)).glob("*.py")
for path in sorted(paths):
    ast.parse(path.read_text(), str(path))
    print("ok", path)
PYTHON

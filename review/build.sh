#!/usr/bin/env bash
# Checks the stand-ins of the scripts, which need Python 3.9 or newer and nothing besides.
cd "$(dirname "$0")" && python3 -c '
import ast, pathlib, sys
assert sys.version_info >= (3, 9), sys.version
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))'

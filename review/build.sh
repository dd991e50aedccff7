#!/bin/sh
# Checks that the stand-ins compile; they need nothing but the standard library.
cd "$(dirname "$0")" && exec python3 -c '
import pathlib

for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
'

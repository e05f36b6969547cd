#!/bin/sh
# Builds what the scripts of the second review start beside the nodes: stand-ins in
# Python's standard library, which are only compiled, to show that they can be.
set -e
cd "$(dirname "$0")"
exec python3 - <<'END'
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11"
cases = [Path(str(number), "case.py") for number in range(6, 11)]
for path in (Path("fleet2.py"), *(case for case in cases if case.exists())):
    compile(path.read_text(), str(path), "exec")
END

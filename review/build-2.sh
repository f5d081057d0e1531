#!/usr/bin/env bash
# Prepares the stand-ins of cases 4 to 8. They are Python programs that need nothing but Python's own library (3.11 or
# later), so nothing is compiled; this checks that they and the cases can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-2/*.py [4-8]/case.py <<'PYTHON'
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
PYTHON

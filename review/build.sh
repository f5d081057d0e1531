#!/usr/bin/env bash
# The stand-ins are in Python's standard library alone: this checks the interpreter and compiles them.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 8), sys.version'
python3 -m py_compile lib/standins.py [0-9]*/case.py

#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
timeout -k 3 "${LIMIT_S:-119}" python3 "$here/case.py"
code=$?
case $code in 0|1) exit $code ;; *) exit 2 ;; esac

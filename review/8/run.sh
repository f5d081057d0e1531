#!/usr/bin/env bash
# Plays the case beside this file; TROUBLE=0 plays it without the disruption. Exit status: 1 if the rule was broken,
# 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 118 python3 case.py "$PWD"

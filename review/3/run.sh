#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: one order at a time.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 118 python3 case.py

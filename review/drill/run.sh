#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
node case.mjs
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"

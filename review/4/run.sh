#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if not run.
# TROUBLE=0 plays it without the disruption.
export TROUBLE="${TROUBLE:-1}"
folder=$(cd "$(dirname "$0")" && pwd)
program="$folder/../../target/review/case4"
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
timeout -k 5 110 "$program" "$folder"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"

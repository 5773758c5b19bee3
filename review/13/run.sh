#!/usr/bin/env bash
# Runs the case against the routers of the deployment build; needs review/build-3.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/case-13
[ -x "$program" ] && [ -x target/bin/bilberryd ] || exit 2
timeout 120 "$program" "$PWD" review/13/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"

#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x review/support-2/bin/deadrouters ] && [ -x target/bin/bilberryd ] || { echo "build first: the deploy file, then review/build-2.sh"; exit 2; }
exec timeout -k 2 110 review/support-2/bin/deadrouters "$here/record.txt"

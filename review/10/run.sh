#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the restarts out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/drive ] || { echo "run review/build-2.sh first"; exit 2; }
timeout -k 3 118 target/review-2/drive forgotten-block review/10/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
set -uo pipefail
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/hyssophub ] && [ -x target/review-stand ] || exit 2
exec target/review-stand -case missed -trouble="$trouble" -host target/hyssophub -record "$here/record.txt"

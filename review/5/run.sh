#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/hyssophub ] && [ -x target/review-stand ] || exit 2
exec target/review-stand -case foreign -host target/hyssophub -record "$here/record.txt"

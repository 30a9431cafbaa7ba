#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could
# not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/hyssophub target/review-stand-2; do
  if ! [ -x "$program" ]; then
    echo "$program is missing: run the build of deploy/system.toml and review/build-2.sh"
    exit 2
  fi
done
exec target/review-stand-2 silent-store review/9/record.txt

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bilberrywalk ] && [ -x target/review-stand ] || { echo "build the project and review/build.sh first"; exit 2; }
exec target/review-stand -case lost-after-start -record review/5/record.txt

#!/bin/sh
# Case 10. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the late writes.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rattanhitchd ] && [ -x target/review-lab-3 ] || { echo 'build the deploy file and run review/build-2.sh first'; exit 2; }
exec target/review-lab-3 late-beat . review/10

#!/bin/sh
# Case 10. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the outage and the kills.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rattanhitchd ] && [ -x target/review-lab-2 ] || { echo 'build the deploy file and run review/build-2.sh first'; exit 2; }
exec target/review-lab-2 poison review/10/record.txt

#!/usr/bin/env bash
# Runs case 5; see claim.txt. TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/standin homes-at-restart review/5

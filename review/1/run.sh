#!/usr/bin/env bash
# Runs case 1; see claim.txt. TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/standin deadly-impatient review/1

#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/. The modules have no dependency.
set -eu
cd "$(dirname "$0")"
(cd lab-2 && GOFLAGS=-buildvcs=false go build -o ../../target/review-lab-2 .)
(cd lab-3 && GOFLAGS=-buildvcs=false go build -o ../../target/review-lab-3 .)

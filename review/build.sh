#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review, after the build of deploy/system.toml. They need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOTOOLCHAIN=local go build -o ../bin/standin .

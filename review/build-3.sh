#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, after the build of the
# deploy file. It needs no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/rig3"
GOWORK=off go build -o ../../target/review-3/rig3 .

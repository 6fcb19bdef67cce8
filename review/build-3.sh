#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, after the build of the
# deploy file: those of this review, and those of the second one, which case 15 uses unchanged. It
# needs no network: the modules have no dependencies.
set -euo pipefail
cd "$(dirname "$0")"
(cd rig3 && GOWORK=off go build -buildvcs=false -o ../../target/review-3/rig3 .)
(cd rig2 && GOWORK=off go build -buildvcs=false -o ../../target/review-3/rig2 .)

#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. It needs no network.
set -eu
cd "$(dirname "$0")/rig2"
GOWORK=off GOFLAGS= go build -buildvcs=false -o ../../target/review-2/rig2 .

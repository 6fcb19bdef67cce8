#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/rig2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2/rig2 .

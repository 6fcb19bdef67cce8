#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs no network.
set -eu
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS= go build -buildvcs=false -o ../bin/rig .

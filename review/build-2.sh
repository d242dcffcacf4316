#!/bin/bash
# Builds the stand-ins that the scripts of the second review start, into target/.
set -eu
cd "$(dirname "$0")/standin2"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review2 .

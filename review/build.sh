#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library only.
set -eu
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../target/review-standin ./standin

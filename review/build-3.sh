#!/bin/sh
# Builds the stand-ins that the cases 11 to 15 start. It needs no network.
set -e
cd "$(dirname "$0")/standin3"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin3 .

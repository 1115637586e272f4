#!/usr/bin/env bash
# Builds the program that plays the cases of the second review, with its stand-ins, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-case2 ./review/case2

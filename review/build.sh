#!/bin/sh
# Builds the stand-ins of the review. They use the standard library only and are a module of their own.
set -eu
cd "$(dirname "$0")/standin"
go build -o ../bin/standin .

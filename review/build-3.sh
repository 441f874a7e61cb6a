#!/bin/sh
# Builds target/review-3, which the scripts of the cases 11 to 15 start beside the programs of the deploy file. It needs the Go
# toolchain only.
mkdir -p "$(dirname "$0")/../target" || exit 1
cd "$(dirname "$0")/standin-3" && GOFLAGS= GOWORK=off CGO_ENABLED=0 go build -o ../../target/review-3 .

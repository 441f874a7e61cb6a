#!/bin/sh
# Builds what the scripts of review/7 to review/10 start besides the project's programs: one program with all stand-ins. It needs
# the standard library only, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
cd review/standin-2
GOTOOLCHAIN=local GOPROXY=off GOFLAGS= CGO_ENABLED=0 go build -o ../../target/review-2 .

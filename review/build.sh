#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They use the standard library only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standin"
mkdir -p ../../target
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review-standin .

#!/bin/sh
# Builds the stand-ins and the drivers of the cases into review/bin. Needs Go only, no network.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOWORK=off go build -o bin/ ./cmd/...

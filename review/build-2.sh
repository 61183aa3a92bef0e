#!/usr/bin/env bash
# Builds the stand-ins that the scripts review/4 to review/8 start. It needs no network. The build of the
# deploy file has to be run as well.
set -euo pipefail
cd "$(dirname "$0")/world-2"
go build -buildvcs=false -o ../../target/review-2/world .

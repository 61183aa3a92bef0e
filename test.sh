#!/usr/bin/env bash
# The project's whole check: format, vet, linters (the files with the build tag golden too),
# tests with the race detector, and the build that deploy/service.toml names.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd internal)
if [ -n "$unformatted" ]; then
  echo "gofmt: $unformatted" >&2
  exit 1
fi
for tags in "" golden; do
  go vet -tags="$tags" ./...
  go tool -modfile=tools/go.mod staticcheck -tags="$tags" ./...
  GOFLAGS="${GOFLAGS:-} -tags=$tags" go tool -modfile=tools/go.mod go-errorlint ./... # its own -tags does nothing
done
go test -race -count=1 -timeout 30m ./...
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)
if [ -z "$build" ]; then
  echo "deploy/service.toml names no build" >&2
  exit 1
fi
bash -c "$build"
target/tillerarch --version

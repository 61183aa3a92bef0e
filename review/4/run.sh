#!/usr/bin/env bash
# Runs this case of the review against the project's own program. Exit code: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. With TROUBLE=0 it does the same without the disruption.
# Build first: the build command of deploy/service.toml, then review/build-2.sh.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
world=$root/target/review-2/world
if [ ! -x "$world" ] || [ ! -x "$root/target/tillerarch" ]; then
  echo "build first: the build command of deploy/service.toml, then review/build-2.sh" >&2
  exit 2
fi
exec "$world" backlog "$root" "$PWD/record.txt"

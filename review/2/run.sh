#!/bin/sh
# Runs the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/review/bin/team-limit" ] || { echo "review/build.sh has not been run"; exit 2; }
exec "$root/review/bin/team-limit" "$root" "$here/record.txt"

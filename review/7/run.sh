#!/usr/bin/env bash
# Runs this case once; writes record.txt in this folder. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/target/review-2/case-7
if [ ! -x "$program" ] || [ ! -x "$root/target/release/poppykeel" ]; then
  echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
  exit 2
fi
exec "$program" "$root" "$folder"

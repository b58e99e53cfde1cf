#!/usr/bin/env bash
# Builds the cases of review/6 to review/10 with the compiler alone, into target/review-2. Their stand-ins (discovery, a model
# server, the front, the collector of the fleet's report) are threads of these programs; no case starts a stand-in of the
# project. The node itself comes from the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/*/; do
  number=$(basename "$folder")
  if [ -f "$folder/case.rs" ]; then
    rustc --edition 2021 -O -o "target/review-2/case-$number" "$folder/case.rs"
    echo "built target/review-2/case-$number"
  fi
done

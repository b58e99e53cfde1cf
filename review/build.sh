#!/usr/bin/env bash
# Builds the test program and stand-ins of each case with the Rust compiler alone. The node is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for case in [0-9]; do
  [ -f "$case/test.rs" ] || continue
  rustc --edition 2021 -O -o "bin/case-$case" "$case/test.rs"
done

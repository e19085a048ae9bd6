#!/usr/bin/env bash
# Builds what the review's scripts start beside the daemon: one program a case, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.rs; do
  number=$(basename "$(dirname "$case")")
  rustc --edition 2021 -O -o "target/review/case-$number" "$case"
done

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.."
[ -x target/release/curlewcleatd ] && [ -x target/review/case-3 ] || { echo "not built"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec target/review/case-3 review/3

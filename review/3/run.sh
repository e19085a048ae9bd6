#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.."
program=target/review/case-3
[ -x target/release/curlewcleatd ] && [ -x $program ] || { echo "not built"; exit 2; }
work=$(mktemp -d)
export TROUBLE="${TROUBLE:-1}" TMPDIR="$work" REVIEW_PIDS="$work/pids"
end() {
  # Whatever the program has started and not ended itself.
  for pid in $(cat "$REVIEW_PIDS" 2>/dev/null); do
    [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = curlewcleatd ] && kill -KILL "$pid"
  done
  rm -rf "$work"
}
trap end EXIT
trap 'exit 2' INT TERM
timeout 110 $program review/3 &
wait $!
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac

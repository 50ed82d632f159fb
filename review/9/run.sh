#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
target=${CARGO_TARGET_DIR:-$root/target}
case $target in /*) ;; *) target=$root/$target ;; esac
GATEWAY_PROGRAM=$target/release/pomeloridge
cases=$target/review-2/release/review_cases
export GATEWAY_PROGRAM
for program in "$GATEWAY_PROGRAM" "$cases"; do
    [ -x "$program" ] || { echo "not built: $program"; exit 2; }
done
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$cases" stop "$root" "$here" "$folder"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"

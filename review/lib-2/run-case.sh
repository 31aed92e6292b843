#!/usr/bin/env bash
# Runs the program of a case. Arguments: name of the program, folder of the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
program=$1
case_folder=$(cd "$2" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
if [ ! -x target/bin/catkinlinkd ] || [ ! -x "target/review-2/$program" ]; then
    echo "build target/bin/catkinlinkd by the deploy file first, then run review/build-2.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=1 118 "target/review-2/$program" target/bin/catkinlinkd "$folder" "$case_folder/record.txt" "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"

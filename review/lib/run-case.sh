#!/usr/bin/env bash
# Runs the case of the folder that is given. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd) || exit 2
cd "$root" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
[ -x target/bin/catkinlinkd ] || { echo "target/bin/catkinlinkd is missing: run the build of the deploy file" >&2; exit 2; }
python3 -B "$1/case.py"
case $? in
0) exit 0 ;;
3) exit 1 ;;
*) exit 2 ;;
esac

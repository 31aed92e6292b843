#!/usr/bin/env bash
# Builds the daemon with one check switched off, in a scratch copy, and runs the soak on it. Arguments: name of a patch in this folder, seeds.
# Exits with 0 if a seed has caught the mutant, with 1 if none has. SCRATCH keeps the copy and its build for the next mutant.
set -euo pipefail

folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$folder/../../.." && pwd)
build=${CATKINLINK_BUILD:-$root/build}
name=$1
shift
patch=$folder/$name.patch
[ -f "$patch" ] || { echo "no such mutant: $name" >&2; exit 2; }
scratch=${SCRATCH:-$(mktemp -d)}
[ -n "${SCRATCH:-}" ] || trap 'rm -rf "$scratch"' EXIT
mkdir -p "$scratch/source"

git -C "$root" archive HEAD | tar -x -C "$scratch/source"
(cd "$scratch/source" && patch -p1 --quiet <"$patch")
launcher=()
command -v ccache >/dev/null && launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
# A build inside of the copy, as in a clone, shares the compiler cache.
export CCACHE_BASEDIR=$scratch/source CCACHE_NOHASHDIR=1
cmake -S "$scratch/source" -B "$scratch/source/build" -G Ninja -DCATKINLINK_TESTS=OFF "${launcher[@]}" >&2
ninja -C "$scratch/source/build" -j "${CATKINLINK_JOBS:-$(nproc)}" catkinlinkd >&2

caught=1
for seed in "$@"; do
    status=0
    "$build/bin/soak" --bin "$scratch/source/build/bin" --seed "$seed" --minutes "${MINUTES:-0.75}" ${SOAK_OPTIONS:-} || status=$?
    [ "$status" -eq 1 ] && caught=0
    echo "$name, seed $seed: $([ "$status" -eq 1 ] && echo caught || echo "not caught (exit code $status)")"
done
exit "$caught"

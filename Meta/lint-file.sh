#!/usr/bin/env bash
# Lints one source file unless the same content was clean before. Arguments: build folder, cache folder, file.
set -euo pipefail
build=$1 cache=$2 file=$3
# The key covers the file, the checks and every header of ours that it includes, directly or not.
key=$( {
    cat .clang-tidy
    clang++ -std=c++20 -MM -I. -IUserland -IUserland/Libraries -IUserland/Services -IUserland/Utilities -ITests "$file" 2>/dev/null | tr -d '\\' | tr ' ' '\n' | grep -v ':$' | sort -u | xargs -r cat
} | sha256sum | cut -d' ' -f1)
[ -e "$cache/$key" ] && exit 0
clang-tidy -p "$build" --quiet "$file" 2>/dev/null || { echo "lint failed: $file" >&2; exit 1; }
touch "$cache/$key"

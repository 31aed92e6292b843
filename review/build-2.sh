#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the build of the deploy file. They need g++ and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-O2 -std=c++20 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/lib-2/Standins.cpp -o target/review-2/Standins.o
for source in review/[6-9]/*.cpp review/10/*.cpp review/lib-2/LatePart.cpp; do
    [ -e "$source" ] || continue
    g++ "${flags[@]}" "$source" target/review-2/Standins.o -o "target/review-2/$(basename "$source" .cpp)"
done

#!/usr/bin/env bash
# Checks that each mutant still applies to the sources, as mutants/run.sh applies it. Exits with 1 if one does not.
set -uo pipefail

folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$folder/../../.." || exit 2
status=0
for mutant in "$folder"/*.patch; do
    patch -p1 --dry-run --force --quiet <"$mutant" >/dev/null || { echo "does not apply: $(basename "$mutant")" >&2; status=1; }
done
exit $status

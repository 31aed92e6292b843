#!/usr/bin/env bash
# Builds, runs, tests and measures catkinlink. See README.md.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
cd "$root"
build=${CATKINLINK_BUILD:-$root/build}
jobs=${CATKINLINK_JOBS:-$(nproc)}
# Lets clones in different folders share the compiler cache.
export CCACHE_BASEDIR=$root CCACHE_NOHASHDIR=1
packages=(
    build-essential cmake ninja-build pkg-config ccache clang clang-format clang-tidy
    libcivetweb-dev libcapnp-dev libabsl-dev liblog4cxx-dev libtclap-dev nlohmann-json3-dev libvalijson-dev libboost-dev libssl-dev
    libyaml-cpp-dev libgtest-dev
)

say() { printf '%s\n' "$*" >&2; }

install_missing() {
    local missing=() name
    for name in "${packages[@]}"; do
        dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'install ok installed' || missing+=("$name")
    done
    [ ${#missing[@]} -eq 0 ] && return
    say "installing: ${missing[*]}"
    apt-get update -qq >&2
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >&2
}

# What the small site of the run command consists of.
site_programs=(catkinlinkd catkinlink fake_object_api fake_weight_store fake_engine fake_plain tour)

# Builds the given targets, or everything.
build_targets() {
    local launcher=()
    command -v ccache >/dev/null && launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
    [ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja "${launcher[@]}" >&2
    ninja -C "$build" -j "$jobs" "$@" >&2
}

build_all() { build_targets; }

build_site() {
    say "building ${site_programs[*]} in $build with $jobs jobs; only what has changed is compiled"
    build_targets "${site_programs[@]}"
    say "built after $SECONDS s; the tour of the site takes about 15 s"
}

source_files() { git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' | grep -v '/generated/' | sort -u; }

check_format() {
    say "checking the format"
    source_files | xargs -r clang-format --dry-run --Werror
}

# Runs clang-tidy on every source file whose content, or any header, has changed since the last clean run.
check_lint() {
    say "running the linter"
    local cache=${XDG_CACHE_HOME:-$HOME/.cache}/catkinlink-lint
    mkdir -p "$cache"
    source_files | grep '\.cpp$' | xargs -r -P "$jobs" -n 1 Meta/lint-file.sh "$build" "$cache"
}

# A line "gtest: NAME" of KNOWN-RED.txt names one case, a line "ctest: NAME" one program that has no cases; exactly these are passed over.
known_red_cases() { sed -n 's/^gtest: *//p' KNOWN-RED.txt; }
known_red_programs() { sed -n 's/^ctest: *//p' KNOWN-RED.txt; }

run_tests() {
    local excluded programs
    excluded=$(known_red_cases | paste -sd:)
    [ -z "$excluded" ] || export GTEST_FILTER="-$excluded"
    programs=$(known_red_programs | paste -sd'|')
    (cd "$build" && ctest --output-on-failure -j "${CATKINLINK_TEST_JOBS:-4}" ${programs:+-E "^($programs)\$"} "$@")
}

print_known_red() {
    [ -n "$(known_red_cases)$(known_red_programs)" ] || return 0
    say "known failing cases, not run by the test command:"
    cat KNOWN-RED.txt
}

usage() {
    cat <<'TEXT'
usage: Meta/catkinlink.sh COMMAND
  run [--once]        build the daemon, the command and the fakes, start a small site on loopback, roll out a version and make calls;
                      --once ends after the tour and exits 0 only if each step was right
  test                build, check format and lint, run all tests
  soak [--seed N] [--minutes M] [--processes N] [--without FAULT]
                      disturb a site of real processes and check what its clients and upstreams see; ends with the
                      count of broken promises and exits 1 if there are any; see docs/notes/soak.md
  measure NAME [...]  run one measurement; the last line is a JSON object; 'measure list' names them
  build               build only
  format              format all sources in place
TEXT
}

command=${1:-}
[ $# -gt 0 ] && shift
case "$command" in
run)
    install_missing
    build_site
    exec "$build/bin/tour" --bin "$build/bin" "$@"
    ;;
test)
    install_missing
    build_all
    check_format
    check_lint
    print_known_red
    run_tests "$@"
    ;;
measure)
    install_missing
    build_all
    exec "$build/bin/measure" --bin "$build/bin" "$@"
    ;;
soak)
    install_missing
    build_all
    exec "$build/bin/soak" --bin "$build/bin" "$@"
    ;;
build)
    install_missing
    build_all
    ;;
lint)
    check_format
    check_lint
    ;;
format)
    source_files | xargs -r clang-format -i
    ;;
*)
    usage
    [ "$command" = help ] || [ "$command" = --help ] || exit 2
    ;;
esac

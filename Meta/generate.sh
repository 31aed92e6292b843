#!/usr/bin/env bash
# Makes the committed Cap'n Proto code again. Needs the package capnproto.
set -euo pipefail
cd "$(dirname "$0")/../Userland/Libraries/LibWire"
capnp compile -oc++:generated wire.capnp

#!/usr/bin/env bash
# Makes the committed Cap'n Proto code again. Needs the package capnproto.
set -euo pipefail
libraries=$(cd "$(dirname "$0")/../Userland/Libraries" && pwd)
cd "$libraries/LibWire"
capnp compile -oc++:generated wire.capnp
cd "$libraries/LibPeers"
capnp compile -oc++:generated peers.capnp

#!/bin/sh
# Starts the case; see claim.txt. TROUBLE=0: the same without the planned stop.
exec python3 "$(dirname "$0")/run.py"

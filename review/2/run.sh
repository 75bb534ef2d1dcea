#!/bin/sh
# TROUBLE=0 plays the case without its disruption; the default is with it.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 "$(dirname "$0")/case.py"

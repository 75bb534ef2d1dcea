#!/bin/sh
# The stand-ins are Python scripts that use the standard library only; there is
# nothing to compile.
exec python3 -m py_compile "$(dirname "$0")/lib/fleet.py"

#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are Python programs of the standard
# library, so there is nothing to compile: checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import asyncio, sys; sys.exit(not hasattr(asyncio, "timeout"))'
python3 -m py_compile review/lib-2/stand.py review/{6,7,8,9,10}/case.py

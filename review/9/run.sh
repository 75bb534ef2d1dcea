#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays it without its disruption; the default is with it.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
python3 case.py
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
set -u
case "${TROUBLE:=1}" in
  0 | 1) export TROUBLE ;;
  *)
    echo "run.sh: TROUBLE is 0 or 1, not $TROUBLE" >&2
    exit 2
    ;;
esac
command -v python3 >/dev/null || exit 2
exec python3 "$(dirname "$0")/run.py"

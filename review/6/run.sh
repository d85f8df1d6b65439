#!/usr/bin/env bash
# Unsafe requests, some of whose rejections arrive a second time. Exits with 1 if one ran twice or ran although
# it was answered as not run.
# With TROUBLE=0 it does the same without the disruption.
CASE=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
. "$CASE/../kit-2/fleet.sh" || exit 2
start_fleet 7
play extra

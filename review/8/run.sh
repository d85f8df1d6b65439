#!/usr/bin/env bash
# A planned stop of a daemon whose requests wait for room at their upstreams. Exits with 1 if such a request ends
# without an answer.
# With TROUBLE=0 it does the same without the disruption.
CASE=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
. "$CASE/../kit-2/fleet.sh" || exit 2
start_fleet 3
play stop

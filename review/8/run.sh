#!/usr/bin/env bash
# A planned stop of a daemon whose requests wait for room at their upstreams. Exits with 1 if such a request ends
# without an answer.
CASE=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$CASE/../kit-2/fleet.sh"
start_fleet 3
target/kit-2 play -scenario stop -store "$store" -fronts "$fronts" -readies "$readies" -pids "$daemons" \
  -record "$CASE/record.txt" -trouble=$trouble -seed "${SEED:-$$}"

#!/usr/bin/env bash
# Unsafe requests, some of whose rejections arrive a second time. Exits with 1 if one ran twice or ran although
# it was answered as not run.
CASE=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$CASE/../kit-2/fleet.sh"
start_fleet 7
target/kit-2 play -scenario extra -store "$store" -fronts "$fronts" -readies "$readies" -record "$CASE/record.txt" \
  -trouble=$trouble -seed "${SEED:-$$}"

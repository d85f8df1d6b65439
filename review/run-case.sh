#!/usr/bin/env bash
# Plays a case: run-case.sh CASE FOLDER. The daemons are started with the command of deploy/system.toml, as soon as the
# kit has written their settings. Exits with 1 if a rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
kit=target/review-kit
[ -x target/jacinthferry ] && [ -x "$kit" ] || { echo "build first: the line of deploy/system.toml, review/build.sh"; exit 2; }
work=$(mktemp -d) || exit 2
pids=()
kitpid=
finish() {
  for pid in "${pids[@]}" $kitpid; do kill -KILL "$pid"; done 2>/dev/null
  wait 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

start() {
  JACINTHFERRY_CONFIG=$1 target/jacinthferry entry >>"${1%.json}.log" 2>&1 &
  pids+=($!)
}

"$kit" --work "$work" --record "$folder/record.txt" "$1" &
kitpid=$!
started=
while kill -0 "$kitpid" 2>/dev/null; do
  if [ -z "$started" ] && [ -e "$work/start" ]; then
    started=yes
    for settings in "$work"/daemon-*.json; do start "$settings"; done
  fi
  sleep 0.05
done
wait "$kitpid"
code=$?
kitpid=
[ "$code" -eq 2 ] && tail -n 2 "$work"/*.log >&2
[ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac

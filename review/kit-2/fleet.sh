# Shell functions for the cases: start the store and the daemons of a small deployment, and end them.
# To be sourced, with CASE set to the folder of the case and trouble to true or false.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
for program in jacinthferry standin kit-2; do
  [ -x "target/$program" ] || { echo "target/$program is missing: run the build line and review/build-2.sh"; exit 2; }
done
work=$(mktemp -d) || exit 2
pids=()
player=
touch "$work/alive"
finish() {
  exec 2>/dev/null
  rm -f "$work/alive"
  # The supervisors end first, so that none starts a daemon again.
  for pid in "${pids[@]}" $player; do kill -KILL "$pid"; done
  sleep 0.1
  for file in "$work"/pid-*; do [ -e "$file" ] && kill -KILL "$(cat "$file")"; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

# supervise NUMBER runs a daemon, and starts it again 1.5 s after its end, as the platform does.
supervise() {
  while [ -e "$work/alive" ]; do
    JACINTHFERRY_CONFIG="$work/entry-$1.json" target/jacinthferry entry >>"$work/entry-$1.log" 2>&1 &
    echo $! >"$work/pid-$1"
    wait $!
    rm -f "$work/pid-$1"
    sleep 1.5
  done 2>/dev/null
}

# play SCENARIO plays a scenario and exits with its verdict: 1 if the rule was broken, 0 if it held, 2 otherwise.
play() {
  target/kit-2 play -scenario "$1" -store "$store" -fronts "$fronts" -readies "$readies" -pids "$daemons" \
    -record "$CASE/record.txt" -trouble="$trouble" -seed "${SEED:-$$}" &
  player=$!
  wait "$player"
  local code=$?
  player=
  case $code in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
  esac
}

# start_fleet DAEMONS starts the store and the daemons, zone by zone, and sets store, fronts, readies and daemons.
start_fleet() {
  local count=$1 i zones=(a b c)
  mapfile -t port < <(target/kit-2 ports $((2 + 5 * count)))
  [ "${#port[@]}" -eq $((2 + 5 * count)) ] || exit 2
  store=127.0.0.1:${port[0]}
  target/standin platform --address "$store" --command "127.0.0.1:${port[1]}" --reads 2000 --writes 400 \
    >"$work/store.log" 2>&1 &
  pids+=($!)
  fronts="" readies="" daemons=""
  for ((i = 0; i < count; i++)); do
    local p=("${port[@]:$((2 + 5 * i)):5}") zone=${zones[$((i % 3))]}
    cat >"$work/entry-$i.json" <<EOF
{"name": "edge-$zone-$i", "zone": "$zone", "front": "127.0.0.1:${p[0]}", "ready": "127.0.0.1:${p[1]}",
 "directory": "127.0.0.1:${p[2]}", "metrics": "127.0.0.1:${p[3]}", "relay": "127.0.0.1:${p[4]}",
 "store": "$store", "keep": "2s", "grace": "6s", "repeats": {"ratio": 0.2, "slack": 54}, "trial": 0.1,
 "cores": 1, "share": 0.4, "memory": 284}
EOF
    supervise "$i" &
    pids+=($!)
    daemons+="${daemons:+,}$work/pid-$i"
    fronts+="${fronts:+,}127.0.0.1:${p[0]}" readies+="${readies:+,}127.0.0.1:${p[1]}"
  done
}

#!/usr/bin/env bash
# Starts the whole system on loopback as separate processes with the settings
# under examples/, or stops it again by process id.
# Usage: scripts/local.sh start|stop|status
set -euo pipefail
cd "$(dirname "$0")/.."
run=run
binary=$run/bilberrywalk

launch() {
  local name=$1
  shift
  "$binary" "$@" >"$run/$name.out" 2>"$run/$name.log" &
  echo "$! $name" >>"$run/pids"
}

start() {
  if [ -s "$run/pids" ]; then
    echo "already started; run scripts/local.sh stop first" >&2
    exit 1
  fi
  mkdir -p "$run"
  go build -o "$binary" .
  launch platform stand-in platform --address 127.0.0.1:7900
  for i in 1 2 3; do
    launch "worker-$i" stand-in worker --address "127.0.0.1:740$i" --rack rack-1
    launch "endpoint-polls-$i" stand-in endpoint --address "127.0.0.1:730$i" \
      --run-time "list-check=20ms;dial=50ms;dialer-feed=400ms"
    launch "endpoint-reader-$i" stand-in endpoint --address "127.0.0.1:735$i" \
      --run-time "liquor-check=20ms;trend-review=500ms"
  done
  for settings in examples/entry-*.toml; do
    launch "$(basename "$settings" .toml)" entry --settings "$settings"
  done
  for settings in examples/agent-*.toml; do
    launch "$(basename "$settings" .toml)" agent --settings "$settings"
  done
  export BILBERRYWALK_ENTRIES=127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103
  for service in central-polls recovery-reader; do
    for _ in $(seq 50); do
      if "$binary" service apply "examples/$service.toml" --base 0 --who local 2>"$run/apply.log"; then
        break
      fi
      sleep 0.1
    done
  done
  echo "started $(wc -l <"$run/pids") processes; their logs and ids are under $run/"
  echo "try: BILBERRYWALK_ENTRIES=$BILBERRYWALK_ENTRIES $binary endpoint list"
}

stop() {
  [ -s "$run/pids" ] || { echo "nothing is started"; exit 0; }
  local failed=0
  # Entries and agents are stopped first, because they still need the platform,
  # the endpoints and the workers while they leave.
  for pattern in 'entry|agent' 'endpoint|worker|platform'; do
    while read -r pid name; do
      [[ $name =~ ^($pattern) ]] && kill -TERM "$pid" 2>/dev/null || true
    done <"$run/pids"
    while read -r pid name; do
      [[ $name =~ ^($pattern) ]] || continue
      for _ in $(seq 300); do
        kill -0 "$pid" 2>/dev/null || break
        sleep 0.1
      done
      if kill -0 "$pid" 2>/dev/null; then
        echo "$name ($pid) did not stop"
        failed=1
      fi
    done <"$run/pids"
  done
  rm -f "$run/pids"
  exit $failed
}

case "${1:-}" in
start) start ;;
stop) stop ;;
status) [ -s "$run/pids" ] && cat "$run/pids" || echo "nothing is started" ;;
*) sed -n '2,4p' "$0"; exit 2 ;;
esac

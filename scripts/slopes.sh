#!/usr/bin/env bash
# Measures the idle cost of an entry and of an agent for several numbers of
# entries and agents. Each combination runs as separate processes on loopback.
# Usage: scripts/slopes.sh ["ENTRIES:AGENTS ..."]
set -euo pipefail
cd "$(dirname "$0")/.."
combinations=${1:-1:10 1:50 1:150 3:10 9:10}
run=run
mkdir -p $run
[ ! -s $run/pids ] || { echo "stop the local processes first" >&2; exit 1; }
go build -o $run/bilberrywalk .

stop_all() {
  [ -f $run/pids ] || return 0
  while read -r pid _; do kill -TERM "$pid" 2>/dev/null || true; done <$run/pids
  while read -r pid _; do
    for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
  done <$run/pids
  rm -f $run/pids
}
trap stop_all EXIT

launch() {
  local name=$1
  shift
  $run/bilberrywalk "$@" >/dev/null 2>&1 &
  echo "$! $name" >>$run/pids
}

for combination in $combinations; do
  entries=${combination%:*}
  agents=${combination#*:}
  join=""
  for i in $(seq "$entries"); do join+="\"127.0.0.1:$((7100 + i))\", "; done
  launch platform stand-in platform --address 127.0.0.1:7900
  launch endpoint stand-in endpoint --address 127.0.0.1:7901
  for i in $(seq "$entries"); do
    printf 'address = "127.0.0.1:%d"\nfailure-domain = "quito-norte"\njoin = [%s]\nplatform = "127.0.0.1:7900"\nlog-level = "error"\n' \
      $((7100 + i)) "$join" >$run/slope-entry-"$i".toml
    launch "entry-$i" entry --settings $run/slope-entry-"$i".toml
  done
  for i in $(seq "$agents"); do
    printf 'address = "127.0.0.1:%d"\nfailure-domain = "quito-norte"\njoin = [%s]\nlog-level = "error"\n[agent]\nservice = "central-polls"\nendpoint = "127.0.0.1:7901"\n' \
      $((8000 + i)) "$join" >$run/slope-agent-"$i".toml
    launch "agent-$i" agent --settings $run/slope-agent-"$i".toml
  done
  sleep 1
  $run/bilberrywalk service apply examples/central-polls.toml --base 0 --entries 127.0.0.1:7101 --who slopes >/dev/null
  sleep 7
  echo "== $entries entries, $agents agents"
  scripts/idle.sh 20 | awk 'NR==1 {print; next} /^entry-1 |^agent-1 / {print}'
  stop_all
done

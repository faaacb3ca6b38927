#!/usr/bin/env bash
# Measures processor time, memory and traffic of the running local processes
# (scripts/local.sh start) over an interval without requests, 10 s by default.
# Usage: scripts/idle.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
ticks_per_second=$(getconf CLK_TCK)

sample() {
  while read -r pid name; do
    [ -r "/proc/$pid/stat" ] || continue
    cpu=$(awk '{print $14+$15}' "/proc/$pid/stat")
    rss=$(awk '/VmRSS/{print $2}' "/proc/$pid/status")
    # Bytes and segments of the process's TCP connections, sent and received.
    net=$(ss -tinpH 2>/dev/null | awk -v pid="pid=$pid," '
      index($0, pid) {matched=1; next}
      matched {
        matched=0
        for (i=1;i<=NF;i++) {
          if (match($i, /^bytes_sent:/) || match($i, /^bytes_received:/)) {split($i,a,":"); bytes+=a[2]}
          if (match($i, /^segs_out:/) || match($i, /^segs_in:/)) {split($i,a,":"); segs+=a[2]}
        }
      }
      END {printf "%d %d", bytes, segs}')
    echo "$name $cpu $rss $net"
  done <run/pids
}

before=$(mktemp)
after=$(mktemp)
trap 'rm -f "$before" "$after"' EXIT
sample >"$before"
sleep "$seconds"
sample >"$after"
echo "PROCESS                     CPU-%   RSS-MB  PAYLOAD-B/S  WITH-HEADERS-B/S"
join <(sort "$before") <(sort "$after") | awk -v seconds="$seconds" -v ticks_per_second="$ticks_per_second" '
  $1 ~ /^(entry|agent)/ {
    cpu=($6-$2)/ticks_per_second/seconds*100
    payload=($8-$4)/seconds
    # Each segment has 52 bytes of IP and TCP headers.
    total=payload+($9-$5)*52/seconds
    printf "%-26s %6.2f %8.1f %12.0f %17.0f\n", $1, cpu, $7/1024, payload, total
  }'

#!/bin/bash
# Measures idle agents as separate processes on loopback: processor time, memory,
# bytes and store calls, at the numbers of agents given as arguments (default 10
# 50 200), and fits lines. Ends every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
sizes=("${@:-}")
[ -n "${sizes[0]}" ] || sizes=(10 50 200)
settle=${SETTLE_SECONDS:-20}
zones=(a b c d e f g)
window=${WINDOW_SECONDS:-20}
dir=$(mktemp -d)
pids=()
cleanup() {
  for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap 'cleanup; rm -rf "$dir"' EXIT
go build -o "$dir" ./cmd/...

ticks() { # processor time of the agents in clock ticks
  for p in "${agents[@]}"; do awk '{print $14 + $15}' "/proc/$p/stat"; done | awk '{s += $1} END {print s}'
}
resident() { # mean resident memory of the agents in MB
  for p in "${agents[@]}"; do awk '/VmRSS/ {print $2}' "/proc/$p/status"; done | awk '{s += $1; n++} END {print s / n / 1024}'
}
loopback() { awk '$1 == "lo:" {print $2}' /proc/net/dev; }
calls() { curl -s "http://127.0.0.1:20000/standin/counts"; }
field() { sed -E "s/.*\"$2\":([0-9]+).*/\1/" <<<"$1"; }

run() {
  local n=$1 i zone
  pids=()
  agents=()
  "$dir/greengagedoor-standin" store --listen 127.0.0.1:20000 2>/dev/null & pids+=($!)
  sleep 0.5
  for ((i = 0; i < n; i++)); do
    zone=${zones[i % ${#zones[@]}]}
    "$dir/greengagedoor" agent --name "agent-$i" --zone "$zone" --link "127.0.0.1:$((21000 + i))" --http "127.0.0.1:$((23000 + i))" \
      --store http://127.0.0.1:20000 --log-level error 2>>"$dir/log" &
    pids+=($!)
    agents+=($!)
  done
  "$dir/greengagedoor" config apply --store http://127.0.0.1:20000 --base 0 --key capacity samples/tegnestuen.json >/dev/null
  sleep "$settle"
  local cpu bytes before after
  cpu=$(ticks)
  bytes=$(loopback)
  before=$(calls)
  sleep "$window"
  cpu=$(($(ticks) - cpu))
  bytes=$(($(loopback) - bytes))
  after=$(calls)
  awk -v n="$n" -v w="$window" -v hz="$(getconf CLK_TCK)" -v cpu="$cpu" -v bytes="$bytes" -v rss="$(resident)" \
    -v r="$(($(field "$after" reads) - $(field "$before" reads)))" -v wr="$(($(field "$after" writes) - $(field "$before" writes)))" \
    -v wait="$(field "$after" waiting)" 'BEGIN {
      print "agent_cpu|% of a core|" n "|" cpu / hz / w / n * 100
      print "agent_memory|MB|" n "|" rss
      print "agent_loopback|B/s, TCP and IP included|" n "|" bytes / w / n
      print "store_writes|1/s|" n "|" wr / w
      print "store_reads|1/s|" n "|" r / w
      print "store_watches|waiting|" n "|" wait
    }' | tee -a "$dir/points" >&2
  cleanup
}

for n in "${sizes[@]}"; do run "$n"; done
"$dir/greengagedoor-standin" fit <"$dir/points"

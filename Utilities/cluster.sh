# Functions for scripts that start the system and its stand-ins on loopback.
# Source it; it keeps the process ids that it started and stops only those.

cluster_pids=()
cluster_work=$(mktemp -d)
ready=""

# start NAME COMMAND...: runs it, waits for its "ready" line, leaves it in $ready.
start() {
  local name=$1 pid
  shift
  "$@" >"$cluster_work/$name.out" 2>"$cluster_work/$name.log" &
  pid=$!
  cluster_pids+=("$pid")
  for _ in $(seq 600); do
    ready=$(grep -m1 '^ready ' "$cluster_work/$name.out" || true)
    if [ -n "$ready" ]; then
      ready="$ready pid=$pid"
      return 0
    fi
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.05
  done
  cat "$cluster_work/$name.log" >&2
  return 1
}

# value KEY: the value of KEY=VALUE in $ready.
value() { sed -E "s/.*\\b$1=([^ ]+).*/\\1/" <<<"$ready"; }

# wait_for COMMAND...: repeats it until it succeeds; 30 s at most.
wait_for() {
  for _ in $(seq 600); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.05
  done
  echo "gave up waiting for: $*" >&2
  return 1
}

# stop_all: ends what was started, newest first, and waits for it.
stop_all() {
  local i
  for ((i = ${#cluster_pids[@]} - 1; i >= 0; --i)); do
    kill -TERM "${cluster_pids[$i]}" 2>/dev/null || true
  done
  for ((i = ${#cluster_pids[@]} - 1; i >= 0; --i)); do
    wait "${cluster_pids[$i]}" 2>/dev/null || true
  done
  cluster_pids=()
  rm -rf "$cluster_work"
}

# entry_settings NAME DATA-CENTRE TABLE: an entry's settings on stdout.
entry_settings() {
  cat <<INI
[entry]
name = $1
data-centre = $2
listen = 127.0.0.1:0
operators = 127.0.0.1:0
membership = 127.0.0.1:0
[platform]
table = $3
INI
}

# side_settings NAME DATA-CENTRE ENTRIES: a side's settings on stdout.
side_settings() {
  cat <<INI
[side]
name = $1
data-centre = $2
listen = 127.0.0.1:0
announce = 127.0.0.1:0
entries = $3
INI
}

# Starts, names and stops the processes of the demo. Sourced by run.sh.

run=run/demo
bin=${CARGO_TARGET_DIR:-target}/debug
secret=demo-cluster-secret
operator=demo-operator-credential
declare -A pids=() address=()

# Prints the value of a text field of the first JSON line that has it.
field() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p" "$2" 2>/dev/null | head -n 1; }

# wait_for SECONDS COMMAND..: repeats the command until it succeeds.
wait_for() {
  local tries=$(($1 * 10))
  shift
  until "$@"; do
    ((tries-- > 0)) || { echo "gave up waiting for: $*" >&2; return 1; }
    sleep 0.1
  done
}

# start NAME COMMAND..: runs a process with its output under run/demo/.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  pids[$name]=$!
}

has_field() { [ -n "$(field "$1" "$2")" ]; }

# standin NAME KIND FLAGS..: a stand-in on a free port.
standin() {
  start "$1" "$bin/applefold-standin" "$2" --listen 127.0.0.1:0 "${@:3}"
  wait_for 10 has_field listening "$run/$1.out"
  address[$1]=$(field listening "$run/$1.out")
}

# daemon NAME ROLE DOMAIN FLAGS..: an entry or a sidecar on free ports.
daemon() {
  start "$1" "$bin/applefoldd" "$2" --instance "$1" --domain "$3" --peer-listen 127.0.0.1:0 \
    --platform "${address[platform]}" --cluster-secret "$secret" "${@:4}"
  wait_for 10 has_field peers "$run/$1.log"
  address[$1]=$(field callers "$run/$1.log")
}

# announce NAME KIND DOMAIN POOL: puts a process on the platform's list.
announce() {
  local peers pool=null
  peers=$(field peers "$run/$1.log")
  [ -z "${4:-}" ] || pool="\"$4\""
  call platform --path /instances --body "{\"id\":\"$1\",\"kind\":\"$2\",\"address\":\"$peers\",
    \"domain\":\"$3\",\"region\":\"r1\",\"pool\":$pool,\"state\":\"live\"}" >/dev/null
}

# call NAME FLAGS..: an HTTP call to a process.
call() { "$bin/applefold-standin" call --address "${address[$1]}" "${@:2}"; }

# ctl FLAGS..: what an operator runs.
ctl() {
  "$bin/applefoldctl" --entry "${address[e1]},${address[e2]}" --credential "$operator" "$@"
}

# stop NAME: asks a process to stop and waits for its end.
stop() {
  local pid=${pids[$1]:-}
  [ -n "$pid" ] || return 0
  unset "pids[$1]"
  kill -TERM "$pid" 2>/dev/null || true
  wait "$pid"
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
  for name in "${!pids[@]}"; do wait "${pids[$name]}" 2>/dev/null || true; done
  pids=()
}

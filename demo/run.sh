#!/usr/bin/env bash
# Runs a small applefold on this machine and shows what it does: a ticket, a
# stream, a charge sent twice, and an engine killed in the middle of a stream.
# Exits with 0 only if every step showed what it should. Logs: run/demo/.
set -euo pipefail
cd "$(dirname "$0")/.."
source demo/lib.sh

step() { printf '\n== %s\n' "$1"; }
fail() { echo "FAILED: $1" >&2; exit 1; }
chat() { printf '{"model":"tiny-1","messages":[{"role":"user","content":"%s"}],"max_tokens":%s,"stream":true}' "$1" "$2"; }
charge() { call e1 --path /till/charge --bearer demo-caller-key --header "idempotency-key: $1" --body "$2"; }
in_force() {
  local status
  status=$(call "$1" --path /operator/status --bearer "$operator" 2>/dev/null) || return 1
  # Four peers: the other entry and three sidecars.
  [ "$(grep -o '"revision":1,"state":"live"' <<<"$status" | wc -l)" -eq 4 ]
}
running_on() { call "$1" --path /history | grep -q '"state":"running"'; }
running_engine() {
  for engine in engine1 engine2; do
    if running_on "$engine"; then echo "$engine"; return; fi
  done
  return 1
}
charged() { call till --path /history | grep -o '"serial":' | wc -l; }

step "Build"
cargo build --workspace --locked
rm -rf "$run"
mkdir -p "$run"
trap stop_all EXIT

step "Start stand-ins, sidecars and entries"
standin platform platform
standin engine1 engine --stream-rate 40
standin engine2 engine --stream-rate 40
standin till plain
daemon b1 sidecar d1 --backend "${address[engine1]}" --pool chat
daemon b2 sidecar d2 --backend "${address[engine2]}" --pool chat
daemon b3 sidecar d3 --backend "${address[till]}" --pool till
daemon e1 entry d1 --listen 127.0.0.1:0 --region r1 --operator-credential "$operator"
daemon e2 entry d2 --listen 127.0.0.1:0 --region r1 --operator-credential "$operator"
announce b1 backend d1 chat
announce b2 backend d2 chat
announce b3 backend d3 till
announce e1 entry d1
announce e2 entry d2
echo "entries: http://${address[e1]} http://${address[e2]}"

step "File a ticket"
digest=$(printf %s demo-caller-key | ctl key hash)
sed "s/KEY_SHA256/$digest/" demo/ticket.json >"$run/ticket.json"
ctl ticket check "$run/ticket.json"
ctl ticket file "$run/ticket.json"
wait_for 10 in_force e1
wait_for 10 in_force e2
ctl ticket wait 1
echo "revision 1 is in force in every process"

step "Stream a chat"
call e1 --path /v1/chat/completions --bearer demo-caller-key --stream \
  --body "$(chat "Where is the next extinguisher?" 24)" --expect-tokens 24

step "Refuse a key that no ticket has named"
if call e1 --path /v1/models --bearer some-other-key 2>&1; then fail "the key was accepted"; fi

step "Charge twice with one idempotency key"
body='{"litres":3,"shop":"nino"}'
wait_for 15 charge first-charge "$body" 2>"$run/charge.log"
charge first-charge "$body"
[ "$(charged)" -eq 1 ] || fail "the till ran $(charged) charges, not one"
echo "the till ran one charge"

step "Kill the engine that runs a stream"
call e1 --path /v1/chat/completions --bearer demo-caller-key --stream \
  --body "$(chat "Review the evacuation plan." 160)" --expect-tokens 160 &
stream=$!
victim=
find_victim() { victim=$(running_engine); }
wait_for 5 find_victim
sleep 1
kill -KILL "${pids[$victim]}"
wait "${pids[$victim]}" 2>/dev/null || true
unset "pids[$victim]"
echo "[$victim was killed]"
wait "$stream" || fail "the answer was not whole"
echo "the whole answer of 160 tokens arrived"

step "Status"
ctl status

step "Stop"
for name in b1 b2 b3 e1 e2; do stop "$name" || fail "$name did not stop well"; done
stop_all
echo "every step showed what it should"

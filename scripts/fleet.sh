#!/usr/bin/env bash
# Starts or stops a local deployment of separate processes: 3 control VMs, 3 entries,
# 4 emulated engines and 2 emulated plain services.
# Usage: scripts/fleet.sh start|stop
set -euo pipefail
cd "$(dirname "$0")/.."

run_dir=var/fleet
pid_file=$run_dir/pids
export HEMLOCKVALE_ADMIN_TOKEN=local-admin-token-0001
entries=127.0.0.1:8201,127.0.0.1:8202,127.0.0.1:8203
data_centres=(valley-east coastal-bend border-west)

# launch NAME COMMAND... starts a process that logs to $run_dir/NAME.log.
launch() {
  local name=$1
  shift
  "$@" >"$run_dir/$name.log" 2>&1 </dev/null &
  echo "$! $name" >>"$pid_file"
}

start() {
  if [ -s "$pid_file" ]; then
    echo "a fleet is already running; run 'make fleet-stop' first" >&2
    exit 1
  fi
  mkdir -p "$run_dir"
  : >"$pid_file"
  local i
  for i in 1 2 3; do
    launch "control-$i" bin/hemlockvaled run --settings "deploy/local/vms/control-$i.json"
    launch "entry-$i" bin/hemlockvaled run --settings "deploy/local/vms/entry-$i.json"
  done
  for i in 1 2 3 4; do
    local fencing=enforced
    [ "$i" -gt 2 ] && fencing=ignored
    launch "engine-$i" bin/hemlockctl emulate engine --id "engine-$i" --listen "127.0.0.1:$((8300 + i))" \
      --data-centre "${data_centres[$((i % 3))]}" --entries "$entries" --fencing "$fencing"
  done
  for i in 1 2; do
    launch "exchange-$i" bin/hemlockctl emulate service --id "exchange-$i" --listen "127.0.0.1:$((8400 + i))" \
      --data-centre "${data_centres[$((i % 3))]}" --entries "$entries"
  done
  # The configuration is refused until the quorum has elected its first leader.
  for i in $(seq 1 60); do
    if bin/hemlockctl apply --file deploy/local/configuration.json 2>"$run_dir/apply.log"; then
      issue_keys
      return
    fi
    sleep 0.5
  done
  cat "$run_dir/apply.log" >&2
  exit 1
}

# issue_keys issues a key for each organisation and writes ORGANISATION=KEY lines to
# $run_dir/keys.
issue_keys() {
  : >"$run_dir/keys"
  local organisation secret
  for organisation in statewide-grocers metro-food-bank valley-pantry; do
    secret=$(bin/hemlockctl key issue "$organisation" --id "$organisation-$(date +%s)" | awk '{print $2}')
    echo "$organisation=$secret" >>"$run_dir/keys"
  done
  echo "fleet started; keys in $run_dir/keys, logs in $run_dir"
  echo "to generate load: bin/hemlockctl load \$(sed 's/^/--key /' $run_dir/keys) --duration 30s"
}

stop() {
  [ -s "$pid_file" ] || { echo "no fleet is running"; return; }
  local pid name
  while read -r pid name; do
    kill -TERM "$pid" 2>/dev/null || echo "$name was not running"
  done <"$pid_file"
  # Entries keep serving until the address lists that callers hold have expired.
  for _ in $(seq 1 150); do
    local left=0
    while read -r pid name; do
      if kill -0 "$pid" 2>/dev/null; then left=$((left + 1)); fi
    done <"$pid_file"
    [ "$left" -eq 0 ] && break
    sleep 0.2
  done
  [ "${left:-0}" -eq 0 ] || { echo "$left processes are still running, see $pid_file" >&2; exit 1; }
  rm -f "$pid_file"
  rm -rf var/control-1 var/control-2 var/control-3
  echo "fleet stopped"
}

case "${1:-}" in
  start) start ;;
  stop) stop ;;
  *) echo "usage: scripts/fleet.sh start|stop" >&2; exit 2 ;;
esac

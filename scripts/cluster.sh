# Functions that start stand-ins and entry hosts on loopback addresses; sourced by scripts/demo and scripts/experiment.
# Data centre n has the address 127.0.0.(100+n); host m listens on the ports 2m080 (HTTP) and 2m081 (peers).

bin=build/${PRESET:-release}/apps
run_dir=$(mktemp -d)
platform=127.0.0.1:20900
declare -A pid_of http_of
export FIREFLYHAVEN_CLUSTER_KEY=cluster-key-for-the-demo
export FIREFLYHAVEN_SESSION_KEY=session-key-for-the-demo
export FIREFLYHAVEN_OPERATOR_KEY=operator-key-for-the-demo

# start_standins LISTS_FILE [OPTIONS...]
start_standins() {
    "$bin/fireflyhaven-standin" --platform=$platform --lists="$1" "${@:2}" >"$run_dir/standin.log" 2>&1 &
    pid_of[standin]=$!
    wait_for_http "http://$platform/stats"
}

# start_host NAME DATA_CENTRE_NUMBER HOST_NUMBER [OPTIONS...]
start_host() {
    local ip=127.0.0.$((100 + $2)) http=2${3}080 peer=2${3}081
    "$bin/fireflyhavend" --host="$1" --data-centre="dc$2" --region="${REGION:-hu-south}" --listen="$ip:$http" \
        --peer="$ip:$peer" --platform=$platform "${@:4}" >>"$run_dir/$1.log" 2>&1 &
    pid_of[$1]=$!
    http_of[$1]=$ip:$http
    wait_for_http "http://$ip:$http/healthz"
}

wait_for_http() {
    for _ in $(seq 100); do
        curl -sf -o /dev/null --max-time 1 "$1" && return
        sleep 0.1
    done
    echo "no answer from $1" >&2
    return 1
}

ctl() { "$bin/fireflyhavenctl" "$@"; }

# wait_until_served HOST
# Waits until HOST sees all started hosts as live voters and has taken over the upstreams that it owns.
wait_until_served() {
    for _ in $(seq 300); do
        if ctl --entry="${http_of[$1]}" dump 2>/dev/null | python3 -c '
import json, sys
state = json.load(sys.stdin)
members = state["membership"]["members"].values()
sys.exit(0 if state["membership"]["may_act"] and all(m["voter"] and m["heard"] for m in members)
         and len(members) == int(sys.argv[1]) and state["ownership"]
         and all(u["phase"] in ("cold", "warm") for u in state["dispatch"].values()) else 1)' "${#http_of[@]}"; then
            return
        fi
        sleep 0.2
    done
    echo "the hosts did not come into service" >&2
    return 1
}

stop_all() {
    for name in "${!pid_of[@]}"; do
        [ "$name" = standin ] || kill "${pid_of[$name]}" 2>/dev/null || true
    done
    for name in "${!pid_of[@]}"; do
        [ "$name" = standin ] || wait "${pid_of[$name]}" 2>/dev/null || true
    done
    kill "${pid_of[standin]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$run_dir"
}

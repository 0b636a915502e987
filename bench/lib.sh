# Functions of bench/run, which sources this file. They start a platform,
# upstream servers and a query tier at the size of one site, take snapshots of
# their counters, and stop all of it by process id.
# shellcheck shell=bash

bin=${BENCH_BIN:-build/release/bin}
work=${BENCH_WORK:-build/bench}
host=127.0.0.1
# This port and those after it must not overlap with the port ranges of the
# tests and of scripts/try, which are higher.
port=${BENCH_PORT:-7000}
platform=$host:$port
control=$host:$((port + 1))
pids=()
node_pids=()

die() {
	echo "bench: $*" >&2
	exit 1
}

stop_all() {
	local pid
	for pid in "${pids[@]}"; do
		kill -CONT "$pid" 2>/dev/null || true
		kill -KILL "$pid" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	pids=()
	node_pids=()
}

# start NAME PROGRAM ARGUMENT...: starts a process with its output in
# $work/NAME.log and sets $started to its id.
start() {
	local name=$1
	shift
	"$@" > "$work/$name.log" 2>&1 &
	started=$!
	pids+=("$started")
}

# wait_for URL: waits until it answers with success; fails after 300 attempts
# (30 s).
wait_for() {
	local _
	for _ in $(seq 300); do
		curl -fs -o /dev/null "$1" && return 0
		sleep 0.1
	done
	die "$1 does not answer with success; see the logs in $work"
}

caller_address() { echo "$host:$((port + 10 + $1))"; }
operator_address() { echo "$host:$((port + 30 + $1))"; }
peer_address() { echo "$host:$((port + 50 + $1))"; }

# Sizes of the sites, from the table "Current sizes" of docs/design.md. The
# table has no service times: $p50 and $p99, in ms, do not come from there. Each
# line of $groups has these fields:
#   NAME SERVICES SERVERS SLOTS CONNECTIONS CONNECT_MS SHARDS
# SERVICES is the number of services with this NAME. SERVERS and SHARDS are
# counts for each service; the index has 86 shards in all. SLOTS, CONNECTIONS
# and CONNECT_MS, the time to set up a connection, apply to each server.
use_site() {
	site=$1
	case $site in
	wales)
		groups='slotplan 10 3 2 25 6 3
stencil-log 15 3 2 25 6 3
partfind 1 5 4 100 1 8
shift-board 1 3 4 100 1 3'
		p50=20 p99=60 upstream_delay=0.5 client_delay=3
		deadline=250 reserve=slotplan-00 cell=cymru
		;;
	oman)
		groups='motif-gallery 10 3 5 40 6 3
carver-roster 15 3 5 40 6 3
commission-archive 1 25 3 40 1 8
timber-ledger 1 15 3 40 1 3'
		p50=40 p99=120 upstream_delay=1.5 client_delay=1
		deadline=500 reserve=carver-roster-00 cell=muscat
		;;
	*) die "unknown site '$site'; use wales or oman" ;;
	esac
}

# Prints "service servers slots connections connect_ms shards" for each service
# of $groups.
list_services() {
	echo "$groups" | awk '{ for (i = 0; i < $2; i++)
	    printf "%s-%02d %d %d %d %d %d\n", $1, i, $3, $4, $5, $6, $7 }'
}

# Prints "service shard" for each shard of the index.
list_shards() {
	list_services | awk '{ for (i = 0; i < $6; i++) print $1, n++ }'
}

# Sets $capacity, the queries per second at which the service with the least
# capacity has all slots in use, $mean and $shards. The mean of the log-normal
# service time is p50 * exp(sigma^2 / 2).
compute_capacity() {
	mean=$(awk -v a="$p50" -v b="$p99" 'BEGIN {
	    s = log(b / a) / 2.326; printf "%.3f", a * exp(s * s / 2) }')
	capacity=$(list_services | awk -v mean="$mean" '
	    $6 > 0 { c = $2 * $3 / ($6 * mean / 1000)
	    if (!best || c < best) best = c }
	    END { printf "%.2f", best }')
	shards=$(list_shards | wc -l)
}

# Prints the configuration of fake_upstream. Servers get ports from $port + 100
# on, in the order of list_services.
write_upstream_config() {
	list_services | awk -v base=$((port + 100)) -v host="$host" \
	    -v p50="$p50" -v p99="$p99" \
	    -v delay="$upstream_delay" -v seed="$seed" '
	BEGIN { port = base; printf "{\"delay_ms\":%s,\"servers\":[", delay }
	{
		list = ""
		for (i = 0; i < $6; i++)
			list = list (i ? "," : "") (shard + i)
		shard += $6
		for (r = 0; r < $2; r++) {
			printf "%s\n{\"server\":\"%s-%d\",\"listen\":\"%s:%d\",",
			    (n ? "," : ""), $1, r, host, port++
			printf "\"incarnation\":\"1\",\"slots\":%d,", $3
			printf "\"connections\":%d,\"connect_ms\":%d,", $4, $5
			printf "\"seed\":%d,", seed * 1000 + ++n
			printf "\"latency_ms\":{\"p50\":%s,\"p99\":%s},", p50, p99
			printf "\"indexes\":{\"bench\":{\"versions\":[1],"
			printf "\"shards\":[%s]}}}", list
		}
	}
	END { print "]}" }'
}

# Creates objects on the platform over one connection. Standard input has lines
# of "KIND NAME VALUE".
put_objects() {
	awk -v url="http://$platform/v1/objects" '{
		value = substr($0, length($1) + length($2) + 3)
		gsub(/"/, "\\\"", value)
		if (NR > 1) print "next"
		printf "url = \"%s/%s/%s\"\nrequest = PUT\n", url, $1, $2
		print "header = \"If-None-Match: *\"\noutput = /dev/null"
		print "fail\nsilent\nshow-error"
		printf "data = \"%s\"\n", value
	}' > "$work/put.config"
	curl -K "$work/put.config" || die "the platform did not accept an object"
}

service_objects() {
	list_services | awk -v base=$((port + 100)) -v host="$host" \
	    -v cell="$cell" '
	BEGIN { port = base }
	{
		printf "service %s {\"service\":\"%s\",\"slots\":%d,", $1, $1, $3
		printf "\"connections\":%d,\"servers\":[", $4
		for (r = 0; r < $2; r++) {
			printf "%s{\"server\":\"%s-%d\",", (r ? "," : ""), $1, r
			printf "\"address\":\"%s:%d\",", host, port++
			printf "\"incarnation\":\"1\",\"state\":\"live\","
			printf "\"data_centre\":\"%s-%d\"}", cell, r % 3 + 1
		}
		print "]}"
	}'
}

index_object() {
	list_shards | awk '
	BEGIN { printf "index bench {\"index\":\"bench\",\"current\":1,"
	    printf "\"versions\":[{\"version\":1,\"shards\":[" }
	{ printf "%s\"%s\"", (NR > 1 ? "," : ""), $1 }
	END { print "]}]}" }'
}

# contract_object CUSTOMER RATE CONCURRENCY: the key of its caller is
# "key-CUSTOMER".
contract_object() {
	local digest
	digest=$(printf 'key-%s' "$1" | sha256sum | cut -d' ' -f1)
	printf 'contract %s {"customer":"%s","state":"in_force",' "$1" "$1"
	printf '"callers":[{"name":"load","key_sha256":"%s"}],' "$digest"
	printf '"may_query":["bench"],"may_reserve":["%s"],' "$reserve"
	printf '"rate_per_s":%s,"concurrency":%s,' "$2" "$3"
	printf '"deadline_ms":%s,"repeat_window_h":24,' "$deadline"
	printf '"operation":"bench-1","changed_by":"bench"}\n'
}

start_platform() {
	start platform "$bin/fake_platform" --listen "$platform"
	wait_for "http://$platform/v1/vms"
}

start_upstreams() {
	write_upstream_config > "$work/upstream.json"
	start upstream "$bin/fake_upstream" --config "$work/upstream.json" \
	    --control "$control"
	upstream_pid=$started
	servers=$(jq -r '[.servers[].server] | join(",")' \
	    "$work/upstream.json")
	wait_for "http://$control/fake/${servers%%,*}/record"
}

start_node() {
	local n=$1 p peers=
	for p in $(seq "$nodes"); do
		[ "$p" = "$n" ] ||
		    peers="$peers,node-$p@$(peer_address "$p")"
	done
	start "node-$n" "$bin/bulrushwelld" --node "node-$n" --vm "vm-$n" \
	    --cell "$cell" --data-centre "$cell-$((n % 3 + 1))" \
	    --caller-address "$(caller_address "$n")" \
	    --operator-address "$(operator_address "$n")" \
	    --peer-address "$(peer_address "$n")" --platform "$platform" \
	    --peers "${peers#,}"
	node_pids[n]=$started
}

# list_vms [NODE]: makes the platform list the VMs of all nodes but NODE as
# live.
list_vms() {
	local n list=
	for n in $(seq "$nodes"); do
		[ "$n" = "${1:-}" ] ||
		    list="$list,{\"vm\":\"vm-$n\",\"state\":\"live\"}"
	done
	curl -fsS -o /dev/null -d "{\"vms\":[${list#,}]}" \
	    "http://$platform/fake/vms"
}

# Waits until the assignment names two holders for each service; prints a
# warning when it does not after 200 attempts (20 s).
wait_for_assignment() {
	local _ want have
	want=$(list_services | wc -l)
	for _ in $(seq 200); do
		have=$(curl -fs "http://$platform/v1/objects/assignment" |
		    jq '[.objects[].value.services[]? |
		    select((.holders | length) >= 2)] | length' \
		    2>/dev/null) || have=0
		[ "${have:-0}" -ge "$want" ] && return 0
		sleep 0.1
	done
	echo "bench: only ${have:-0} of $want services have two holders" >&2
}

start_tier() {
	local n
	for n in $(seq "$nodes"); do
		start_node "$n"
	done
	for n in $(seq "$nodes"); do
		wait_for "http://$(operator_address "$n")/readyz"
	done
	wait_for_assignment
	# A node may use a share of a server's slots that has just moved to it
	# only after the longest deadline.
	sleep 4
}

# start_all CONTRACT-LINES: starts the platform, the upstream servers and the
# tier of one site.
start_all() {
	mkdir -p "$work"
	start_platform
	list_vms
	start_upstreams
	{ service_objects; index_object; echo "$1"; } | put_objects
	start_tier
}

# set_faults FAULTS SERVER...: injects faults, a JSON object, into upstream
# servers.
set_faults() {
	local order=$1 server
	shift
	for server; do
		curl -fsS -o /dev/null -d "$order" \
		    "http://$control/fake/$server/faults"
	done
}

# replicas NUMBER: prints the server with this number of each service.
replicas() {
	list_services | awk -v r="$1" '{ print $1 "-" r }'
}

# Prints the metrics of all nodes as "name value" lines: the largest value of
# max_charged, the sum of every other metric.
snapshot_nodes() {
	local n
	for n in $(seq "$nodes"); do
		kill -0 "${node_pids[n]}" 2>/dev/null || continue
		curl -fs --max-time 2 \
		    "http://$(operator_address "$n")/metrics" || true
	done | awk '
	/^#/ || /_bucket|_sum|_count/ { next }
	{ name = $1; label = ""
	  if (match(name, /\{.*\}/)) {
		label = substr(name, RSTART, RLENGTH)
		name = substr(name, 1, RSTART - 1) }
	  sub(/^bulrushwell_/, "", name)
	  if (name == "events_total" && label ~ /invariant/)
		name = "invariants"
	  else if (name == "events_total") next
	  if (name == "max_charged") { if ($2 > max) max = $2; next }
	  sum[name] += $2 }
	END { for (name in sum) printf "%s %.6f\n", name, sum[name]
	    printf "max_charged %d\n", max }'
}

# Prints counters of the nodes, the upstream servers and the platform as "name
# value" lines.
snapshot() {
	snapshot_nodes
	curl -fs "http://$control/fake/{$servers}/record" | jq -rs '
	    ["requests", "connections_made", "late", "expired", "overruns",
	    "shed", "cancelled", "connection_overruns"][] as $f |
	    "up_\($f) \([.[][$f]] | add)"'
	curl -fs "http://$platform/fake/counters" | jq -r \
	    'to_entries[] | "platform_\(.key) \(.value)"'
	awk '{ print "upstream_cpu", ($14 + $15) / 100 }' \
	    "/proc/$upstream_pid/stat"
}

# difference BEFORE AFTER: prints the increase of each counter between two
# snapshots as "name value" lines; max_charged is printed as it is in AFTER.
difference() {
	awk 'NR == FNR { old[$1] = $2; next }
	    { print $1, ($1 == "max_charged" ? $2 : $2 - old[$1]) }' "$1" "$2"
}

# value NAME FILE: prints a value from a snapshot, 0 when it is missing.
value() {
	awk -v name="$1" '$1 == name { print $2; found = 1; exit }
	    END { if (!found) print 0 }' "$2"
}

# plan SEED SECONDS NODES CALLER...: prints the plan of a run of bench/load. A
# CALLER is NAME:RATE for queries or NAME:RATE:r for reservations, with the rate
# per second. NODES is a list of numbers.
plan() {
	local plan_seed=$1 seconds=$2 list=$3 n c addresses= callers= name rate
	local kind target
	shift 3
	for n in $list; do
		addresses="$addresses,\"$(caller_address "$n")\""
	done
	for c; do
		IFS=: read -r name rate kind <<< "$c"
		target='"query":"bench"'
		[ "${kind:-q}" = r ] && target="\"reserve\":\"$reserve\""
		callers="$callers,{\"name\":\"$name\",\"key\":\"key-$name\","
		callers="$callers\"rate\":$rate,$target,"
		callers="$callers\"deadline_ms\":$deadline}"
	done
	echo "{\"seed\":$plan_seed,\"seconds\":$seconds," \
	    "\"client_delay_ms\":$client_delay," \
	    "\"nodes\":[${addresses#,}],\"callers\":[${callers#,}]}"
}

# warm_up SECONDS CALLER...: applies load without measuring.
warm_up() {
	local seconds=$1
	shift
	plan 999 "$seconds" "$(seq -s' ' "$nodes")" "$@" > "$work/warm.json"
	"$bin/load" "$work/warm.json" > "$work/warm.out"
	sleep 0.5
}

# measure LABEL SEED SECONDS CALLER...: runs one phase on the nodes of
# $use_nodes (all when unset) and leaves $work/LABEL.json and
# $work/LABEL.delta.
measure() {
	local label=$1 phase_seed=$2 seconds=$3
	shift 3
	plan "$phase_seed" "$seconds" \
	    "${use_nodes:-$(seq -s' ' "$nodes")}" "$@" > "$work/$label.plan"
	snapshot > "$work/before"
	"$bin/load" "$work/$label.plan" > "$work/$label.json"
	sleep 0.3
	snapshot > "$work/after"
	difference "$work/before" "$work/after" > "$work/$label.delta"
}

# caller_field LABEL CALLER FIELD: prints one field of the results of a phase.
caller_field() {
	jq -r --arg c "$2" ".callers[] | select(.name == \$c) | .$3" \
	    "$work/$1.json"
}

# ratio A B: prints A / B, or "-" when B is not positive.
ratio() {
	awk -v a="$1" -v b="$2" \
	    'BEGIN { if (b > 0) printf "%.3f", a / b; else print "-" }'
}

# report LABEL CALLER: prints the results of one phase as two lines.
report() {
	local d=$work/$1.delta
	jq -r --arg c "$2" --arg l "$1" '.callers[] | select(.name == $c) |
	    "\($l) [\($c)] offered \(.rate)/s sent \(.sent) complete " +
	    "\(.complete) partial \(.partial) refused \(.refused | tojson) " +
	    "errors \(.errors | tojson) coverage " +
	    "\(.coverage_mean * 100000 | round / 100000) useful/s " +
	    "\(.useful_per_s) p50 \(.p50_ms) p99 \(.p99_ms) p99.9 " +
	    "\(.p999_ms) ms send lag p99 \(.send_lag_p99_ms) ms"' \
	    "$work/$1.json"
	awk -v nodes="$nodes" '{ v[$1] = $2 }
	END {
		asked = v["shards_asked_total"]
		got = v["shards_answered_total"]
		sent = v["up_requests"]
		printf "    shards asked %d, upstream requests %d (extra %.2f %%),", \
		    asked, sent, asked ? (sent - asked) * 100 / asked : 0
		printf " not in an answer %.2f %%, hedges %d, retries %d,", \
		    sent ? (sent - got) * 100 / sent : 0, \
		    v["hedges_total"], v["retries_total"]
		printf " cancels %d, tier cpu %.2f s,", \
		    v["cancels_total"], v["cpu_seconds_total"]
		printf " upstream cpu %.2f s,", v["upstream_cpu"]
		printf " connections made %d, late %d, expired %d,", \
		    v["up_connections_made"], v["up_late"], v["up_expired"]
		printf " slot overruns %d, connection overruns %d,", \
		    v["up_overruns"], v["up_connection_overruns"]
		printf " peer bytes sent %d, platform calls %d\n", \
		    v["peer_sent_bytes_total"], v["platform_calls_total"]
	}' "$d"
}

# header ARGUMENT...: prints the command, the commit and the machine load, and
# the size of the site when $site is set.
header() {
	echo "command: bench/run $*"
	echo "commit: ${BENCH_COMMIT:-$(git rev-parse --short HEAD)}"
	echo "date: $(date -u +%FT%TZ), cores: $(nproc), load average:" \
	    "$(cut -d' ' -f1-3 /proc/loadavg)"
	if [ -n "${site:-}" ]; then
		echo "site: $site, $nodes nodes, $shards shards," \
		    "service time p50 $p50 p99 $p99 mean $mean ms," \
		    "upstream delay $upstream_delay ms one way," \
		    "client delay $client_delay ms one way, deadline" \
		    "$deadline ms, capacity $capacity queries/s"
	fi
}

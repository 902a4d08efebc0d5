# Sourced by the run.sh of each case: runs `stand CASE`, and ends all that it has started.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/review/stand ] && [ -x target/release/nettleworks ] || { echo "build first" >&2; exit 2; }
# The command of the deploy file.
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "deploy/${deploy:-balancer}.toml")
export RUN
temporary=$(mktemp -d) || exit 2
target/review/stand "$case" "$here" "$temporary" &
stand=$!
end() {
    # The stand ends its client proxies itself; those that it has left behind are named by their ids here.
    for file in "$temporary"/*.pid; do [ -e "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null; done
    rm -rf "$temporary"
}
trap 'kill "$stand" 2>/dev/null; end; exit 2' INT TERM
wait "$stand"
status=$?
[ -n "${KEEP_LOGS:-}" ] && mkdir -p "$KEEP_LOGS" && cp "$temporary"/*.log "$KEEP_LOGS"/ 2>/dev/null
end
[ "$status" -le 1 ] || status=2
exit "$status"

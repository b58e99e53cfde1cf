# Runs the test program of the case in folder $1 and ends every process that it started.
here=$1
export ROOT=$(cd "$here/../.." && pwd)
export WORK=$(mktemp -d)
program="$here/../bin/case-$(basename "$here")"
test_pid=
# Whether a process is a node of this run: process ids may be reused.
is_own_node() {
  { tr '\0' ' ' <"/proc/$1/cmdline" | grep -q 'poppykeel serve' &&
    tr '\0' '\n' <"/proc/$1/environ" | grep -qx "WORK=$WORK"; } 2>/dev/null
}
clean_up() {
  # timeout passes the signal on to the test program.
  if [ -n "$test_pid" ]; then
    kill -TERM "$test_pid" 2>/dev/null
    wait "$test_pid" 2>/dev/null
  fi
  if [ -f "$WORK/pids" ]; then
    while read -r pid; do
      if [ -d "/proc/$pid" ] && is_own_node "$pid"; then kill -KILL "$pid" 2>/dev/null; fi
    done <"$WORK/pids"
  fi
  # KEEP=FOLDER keeps the nodes' logs.
  [ -n "${KEEP:-}" ] && cp "$WORK"/*.log "$KEEP"/ 2>/dev/null
  rm -rf "$WORK"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
if [ ! -x "$program" ] || [ ! -x "$ROOT/target/release/poppykeel" ]; then
  echo "exit 2: build first: the deploy file's build, then review/build.sh" >&2
  exit 2
fi
timeout -k 2 115 "$program" "$here/record.txt" &
test_pid=$!
wait "$test_pid"
code=$?
test_pid=
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac

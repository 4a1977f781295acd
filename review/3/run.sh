#!/usr/bin/env bash
# Case 3: requests are sent to a server long after their callers have left.
# TROUBLE=0 does the same without the disruption (no server crashes, so that no caller leaves); it must pass.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/crocusyard ] && [ -x target/review/standin ] || exit 2
TMPDIR="$(mktemp -d)" || exit 2
export TMPDIR

# `timeout` leads a process group of its own, which holds all that this script starts.
timeout 110 target/review/standin flow review/3 &
group=$!
finish() {
	kill -KILL -- "-$group" 2>/dev/null
	rm -rf "$TMPDIR"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
wait "$group"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"

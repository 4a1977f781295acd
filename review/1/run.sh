#!/usr/bin/env bash
# Case 1: a configuration that is sent after a short outage of the store is not in force in time.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/crocusyard ] && [ -x target/review/standin ] || exit 2
exec timeout --kill-after=5 110 target/review/standin configuration review/1

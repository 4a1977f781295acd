#!/usr/bin/env bash
# Case 3: requests are sent to a server long after their callers have left.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/crocusyard ] && [ -x target/review/standin ] || exit 2
exec timeout --kill-after=5 110 target/review/standin flow review/3

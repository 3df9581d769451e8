#!/usr/bin/env bash
# Plays the case and writes record.txt. Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/boragehinge-entry ] && [ -x target/review-world ] || exit 2
exec target/review-world late-stop . review/2/record.txt

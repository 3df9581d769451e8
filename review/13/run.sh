#!/usr/bin/env bash
# Runs the case "slowreaders" of review/lab3 and writes review/13/record.txt. Exit code 1: the rule was broken; 0: it held; 2: it couldn't run.
# TROUBLE=0 runs it without the disruption. It needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lab3 ] || exit 2
exec target/lab3 slowreaders review/13/record.txt

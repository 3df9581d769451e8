#!/usr/bin/env bash
# Checks every model exhaustively within its bounds, then each mutation of it, which the checker must report.
# "check.sh --large" raises the bounds (see docs/model-checking.md) and takes several minutes and a few GB of memory.
set -euo pipefail
cd "$(dirname "$0")"
spec=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

LARGE=
[ "${1:-}" = --large ] && LARGE=1

# Prints the number of errors that the checker finds in a model built with the given -D options, and of the states.
errors() { # model options...
  local model=$1 dir
  shift
  dir=$(mktemp -d "$work/XXXXXX")
  (
    cd "$dir"
    spin -a "$@" "$spec/$model.pml" >spin.log 2>&1 || { cat spin.log >&2; exit 2; }
    cc -O2 -w -DSAFETY -DBFS -DCOLLAPSE -DMEMLIM=8000 -o pan pan.c
    ./pan -E >pan.log 2>&1
    if grep -q -e 'max search depth too small' -e 'out of memory' -e 'truncated' pan.log; then
      cat pan.log >&2
      exit 2
    fi
    awk '/states, stored/ {states = $1}
         /errors:/ {for (i = 1; i < NF; i++) if ($i == "errors:") errors = $(i+1)}
         END {print errors, states}' pan.log
  )
}

# Checks one model and its mutations; fails when a result differs from the expectation.
check_model() { # model
  local model=$1 failed=0 mutation
  expect "$model" holds ${LARGE:+-DLARGE} || failed=1
  for mutation in $(grep -o 'MUTATE_[A-Z_]*' "$model.pml" | sort -u); do
    expect "$model" violated "-D$mutation" || failed=1
  done
  return $failed
}

expect() { # model expectation options...
  local model=$1 expectation=$2 found states
  shift 2
  read -r found states < <(errors "$model" "$@")
  if { [ "$expectation" = holds ] && [ "$found" = 0 ]; } || { [ "$expectation" = violated ] && [ "$found" -gt 0 ]; }; then
    printf 'ok    %-8s %-8s states=%-9s %s\n' "$model" "$expectation" "$states" "$*"
  else
    printf 'FAIL  %-8s expected %s, errors=%s %s\n' "$model" "$expectation" "$found" "$*"
    return 1
  fi
}

jobs=()
for model in ${MODELS:-view roster once lease config leader cold}; do
  check_model "$model" &
  jobs+=($!)
done
failed=0
for job in "${jobs[@]}"; do
  wait "$job" || failed=1
done
exit $failed

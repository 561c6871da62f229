#!/bin/sh
# Runs one libFuzzer target for RUNS inputs from seed 1.  Inputs that have failed
# are kept under fuzz/found/TARGET/ and run first, every time.
# Usage: fuzz.sh TARGET RUNS
set -eu
target=$1
runs=$2
name=$(basename "$target")
found=$(dirname "$0")/../fuzz/found/$name
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if [ -d "$found" ]; then
  "$target" "$found"/* >"$log" 2>&1 || { cat "$log"; exit 1; }
fi
corpus=build/fuzz/corpus/$name
rm -rf "$corpus"
mkdir -p "$corpus"
seeds=$(dirname "$0")/../fuzz/seed/$name
[ -d "$seeds" ] && cp "$seeds"/* "$corpus"
"$target" -runs="$runs" -seed=1 -max_len=4096 -artifact_prefix=build/fuzz/ \
  "$corpus" >"$log" 2>&1 || { cat "$log"; exit 1; }
echo "$name: $(grep -a '^Done' "$log")"

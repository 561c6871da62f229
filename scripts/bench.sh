#!/bin/sh
# bench.sh BUILD/bench [ci]: runs the benches, writes bench/results.tsv and
# fails when a figure violates its bound in bench/bounds.tsv.  With `ci' it
# writes BUILD/bench/results.tsv and runs only the benches of src/decide,
# without timings and without trainers at the largest size.
#
# A line of bounds.tsv: case, size, policy, figure, `<=' or `>=', bound.  `*'
# as size stands for all sizes.  A bound that no result matches is a failure:
# otherwise a renamed figure would no longer be checked.
set -eu
dir=$1
mode=${2:-all}
root=$(dirname "$0")/..
out=$root/bench/results.tsv
run=$dir/results
mkdir -p "$run"
if [ "$mode" = ci ]; then
  out=$dir/results.tsv
  "$dir/callers" ours >"$run/callers.tsv" &
  a=$!
  "$dir/steps" ours >"$run/steps.tsv" &
  b=$!
  "$dir/membership" ours >"$run/membership.tsv"
  : >"$run/micro.tsv"
  : >"$run/entry_path.tsv"
else
  "$dir/callers" >"$run/callers.tsv" &
  a=$!
  "$dir/steps" >"$run/steps.tsv" &
  b=$!
  "$dir/membership" >"$run/membership.tsv"
  "$dir/micro" >"$run/micro.tsv"
  "$dir/entry_path" >"$run/entry_path.tsv"
fi
wait $a
wait $b
{
  printf 'case\tsize\tpolicy\tfigure\tvalue\n'
  cat "$run/callers.tsv" "$run/steps.tsv" "$run/micro.tsv" \
    "$run/entry_path.tsv" "$run/membership.tsv"
} >"$out"
awk -F '\t' -v mode="$mode" '
  FNR == 1 { file++; next }
  file == 1 {
    v[$1 FS $2 FS $3 FS $4] = $5
    names[$1 FS $3 FS $4] = names[$1 FS $3 FS $4] " " $2
    next
  }
  /^#/ || NF < 6 { next }
  mode == "ci" && $1 ~ /^(decision|entry)$/ { next }
  mode == "ci" && $1 $2 ~ /^batches.*10x$/ { next }
  mode == "ci" && $2 == "planned" { next }
  {
    n = split($2 == "*" ? names[$1 FS $3 FS $4] : $2, size, " ")
    if (n == 0) { print "no result for bound:", $0; bad++ }
    for (i = 1; i <= n; i++) {
      k = $1 FS size[i] FS $3 FS $4
      checked++
      if (!(k in v)) { print "no result for bound:", $0; bad++; continue }
      if ($5 == "<=" ? v[k] + 0 <= $6 + 0 : v[k] + 0 >= $6 + 0) continue
      print "bound violated:", k, v[k], "expected", $5, $6
      bad++
    }
  }
  END {
    printf "%d figures checked against bounds, %d violated\n", checked, bad
    exit bad > 0
  }' "$out" "$root/bench/bounds.tsv"

#!/bin/sh
# Draws one SVG per slope from the points and the fitted lines.
# Usage: plot.sh POINTS SLOPES OUTDIR
set -eu
points=$1
slopes=$2
out=$3
mkdir -p "$out"
grep -v '^#' "$slopes" | while IFS='	' read -r role driver measure _n a b _r; do
  data=$(mktemp)
  awk -F'\t' -v r="$role" -v d="$driver" -v m="$measure" \
    '$1 == r && $2 == d && $3 == m { print $4, $5 }' "$points" > "$data"
  gnuplot <<P
set terminal svg size 480,320 background rgb "white"
set output "$out/$role-$driver-$measure.svg"
set title "$role: $measure by $driver" noenhanced
set xlabel "$driver" noenhanced
set ylabel "$measure" noenhanced
set yrange [0:*]
set key left top
f(x) = $a + $b * x
plot "$data" with points pointtype 7 title "measured", f(x) title "fit"
P
  rm -f "$data"
done

#!/bin/sh
# Prints docs/CAPACITY.md: the text of docs/capacity.in.md with the tables
# that capacity.awk computes from bench/slopes.tsv in place of its markers.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
slopes=$here/../../bench/slopes.tsv
while IFS= read -r line; do
  if [ "$line" = '@TABLES@' ]; then
    awk -f "$here/capacity.awk" "$slopes"
  elif [ "$line" = '@BROKEN@' ]; then
    awk -v want=broken -f "$here/capacity.awk" "$slopes"
  elif [ "$line" = '@SLOPES@' ]; then
    printf '| role | driver | measure | points | at zero | slope | residual |\n'
    printf '|---|---|---|---|---|---|---|\n'
    awk -F'\t' '!/^#/ { printf "| %s | %s | %s | %s | %s | %s | %s |\n", \
      $1, $2, $3, $4, $5, $6, $7 }' "$slopes"
  else
    printf '%s\n' "$line"
  fi
done < "$here/../../docs/capacity.in.md"

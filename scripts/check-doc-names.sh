#!/bin/sh
# Fails when a page names a source file, an identifier or a test that the tree
# does not have.
set -eu
cd "$(dirname "$0")/.."
pages="README.md CONTRIBUTING.md $(ls docs/*.md docs/*.yaml docs/*/*.md man/*)"
dirs='src|platform|tests|bench|fuzz|scripts|deploy|examples|completion'
names=$(mktemp)
trap 'rm -f "$names"' EXIT
cat src/*/*.[ch] platform/*.[ch] tests/*.c tests/*/*.[ch] bench/*.[ch] \
  bench/*/*.[ch] fuzz/*.c | grep -oE '\b(wy|WY)_[A-Za-z0-9_]+' >"$names"
# Metrics of the agent: their names are composed from those of the counters.
sed -nE 's/.*(COUNTER|GAUGE) \(([a-z_]+),.*/wy_agent_\2/p' src/agent/http.c \
  >>"$names"
sort -u -o "$names" "$names"
missing=0
for page in $pages; do
  for path in $(grep -oE "(^|[^A-Za-z0-9_./-])($dirs)/[a-z0-9_/.-]*[a-z0-9_]" \
    "$page" | grep -oE "($dirs)/.*" | sort -u); do
    if ! ls "$path"* >/dev/null 2>&1; then
      echo "$page: no file $path" >&2
      missing=1
    fi
  done
  for name in $(grep -oE '\b(wy|WY)_[A-Za-z0-9_]+' "$page" | sort -u); do
    if ! grep -q "^$name" "$names" \
      && ! grep -qx "${name%_total}" "$names" \
      && ! grep -qx "${name%_*_total}_" "$names"; then
      echo "$page: no name $name" >&2
      missing=1
    fi
  done
  for test in $(grep -oE '\b[a-z_]+::[a-z_0-9]+' "$page" | sort -u); do
    if ! grep -qrE "^Test \(${test%%::*},$" tests \
      && ! grep -qrE "^Test \(${test%%::*}, ${test##*::}\b" tests; then
      echo "$page: no test $test" >&2
      missing=1
    fi
  done
done
exit $missing

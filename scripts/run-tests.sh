#!/bin/sh
# Runs each test program, a few at a time, adds up their counts and ends with
# one line "N passed, N failed".  A program that ends without a count is
# a failure.  Tests named in KNOWN-RED.txt (first field: PROGRAM:SUITE::TEST)
# still run; their failure is printed and does not change the verdict.
# Programs named test_clients_* measure processes under load: they run after all
# others, one test at a time.
set -u
at_once=4
red=$(dirname "$0")/../KNOWN-RED.txt
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
# run PROGRAMS_AT_ONCE TESTS_AT_ONCE TIMEOUT_S: the programs on standard input.
run ()
{
  OUT=$out JOBS=$2 TIMEOUT=$3 xargs -r -P "$1" -n 1 sh -c '
  name=$(basename "$0")
  "$0" -j"$JOBS" --timeout "$TIMEOUT" >"$OUT/$name" 2>&1
  echo $? >"$OUT/$name.rc"'
}
printf '%s\n' "$@" | grep -v '/test_clients_' | run "$at_once" 4 60
printf '%s\n' "$@" | grep '/test_clients_' | run 1 1 600
passed=0
failed=0
known=0
for t in "$@"; do
  name=$(basename "$t")
  rc=$(cat "$out/$name.rc")
  sum=$(grep -a 'Synthesis:' "$out/$name" | tail -n 1)
  n=$(printf '%s' "$sum" | sed -n 's/.*Tested: [^0-9]*\([0-9]*\).*/\1/p')
  p=$(printf '%s' "$sum" | sed -n 's/.*Passing: [^0-9]*\([0-9]*\).*/\1/p')
  if [ -z "$n" ] || [ "$n" = 0 ]; then
    echo "$name: no test executed (exit $rc)"
    cat "$out/$name"
    failed=$((failed + 1))
    continue
  fi
  f=$((n - p))
  passed=$((passed + p))
  if [ "$f" -gt 0 ] || [ "$rc" -ne 0 ]; then
    cat "$out/$name"
    [ "$f" -eq 0 ] && f=1
    k=0
    for bad in $(sed -n 's/.*\[[^]]*FAIL[^]]*\] *\([A-Za-z0-9_]*::[A-Za-z0-9_]*\).*/\1/p' "$out/$name" | sort -u); do
      grep -qs "^$name:$bad[[:space:]]" "$red" || continue
      echo "KNOWN-RED $name:$bad"
      k=$((k + 1))
    done
    known=$((known + k))
    failed=$((failed + f - k))
  fi
  echo "$name: $p of $n"
done
[ "$known" -gt 0 ] && echo "$known known red, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]

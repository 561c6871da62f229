#!/bin/sh
# Prints docs/LOGS.md from the catalogue of events, src/trace/catalogue.txt,
# and fails when the catalogue and the calls in the sources differ.
set -eu
here=$(cd "$(dirname "$0")/.." && pwd)
list=$here/src/trace/catalogue.txt
used=$(cat "$here"/src/*/*.c | tr '\n' ' ' \
  | grep -oE '(wy_json_log \(|append_head \(ts,) *(ok \? |ready \? )?"[a-z_]+\.[a-z_]+"( *: *"[a-z_]+\.[a-z_]+")?' \
  | grep -oE '[a-z_]+\.[a-z_]+' | sort -u)
known=$(grep -v '^#' "$list" | cut -d'|' -f1 | sort -u)
if [ "$used" != "$known" ]; then
  echo "src/trace/catalogue.txt and the events in src/ differ:" >&2
  printf '%s\n' "$used" >"${TMPDIR:-/tmp}/used.$$"
  printf '%s\n' "$known" | diff "${TMPDIR:-/tmp}/used.$$" - >&2 || true
  rm -f "${TMPDIR:-/tmp}/used.$$"
  exit 1
fi
cat <<'T'
# Log lines

Made by `scripts/logs-page.sh` from `src/trace/catalogue.txt`; CI checks that both agree with the sources.

`wygated` and `wyorderd` write one JSON object a line to standard output: `t` (wall time in seconds), `process`,
`incarnation` (one start of the process), `event`, and the fields below. Ages are in ms. Lines are gathered for up to 100 ms;
at most 2,000 a second are written and 256 KB kept for a reader that is slow; `log.dropped` says how many were left out.

| event | fields | written when |
|---|---|---|
T
grep -v '^#' "$list" | while IFS='|' read -r name fields when; do
  printf '| `%s` | %s | %s |\n' "$name" "$fields" "$when"
done

#!/bin/sh
# Prints docs/CONFIG.md from the programs' own tables of settings.
# Usage: config-page.sh BIN
set -eu
bin=$1
cat <<'T'
# Settings

Made by `scripts/config-page.sh` from the programs' own tables; CI checks that it is current. Every program takes
`--config FILE` (YAML, one mapping) and `--check-config`; `wygated` and `wyorderd --check-template FILE` check a template with
`{{name}}` places before it is deployed. A fault is told as `FILE:LINE: key: what is wrong, what is
allowed`, and the program ends with 2.
T
for p in wyentryd wyagentd wygated wyorderd wyctl; do
  [ -x "$bin/$p" ] || continue
  printf '\n## %s\n\n| key | unit | default | allowed | meaning |\n|---|---|---|---|---|\n' "$p"
  "$bin/$p" --describe-settings
done

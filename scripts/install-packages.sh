#!/bin/sh
# Installs the missing ones of the Debian packages in packages.txt, or in the
# given list.  Does nothing if all are present, so that a build needs no root.
# Usage: install-packages.sh [LIST]
set -eu
here=$(cd "$(dirname "$0")/.." && pwd)
list=$here/${1:-packages.txt}
missing=
while read -r name; do
  dpkg-query -W -f='${Status}' "$name" 2>/dev/null \
    | grep -q 'ok installed' || missing="$missing $name"
done < "$list"
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing

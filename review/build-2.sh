#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2.  They need what
# the build of the deploy file needs (glib, jansson), and nothing else.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter -Wno-unused-function"
libs=$(pkg-config --cflags --libs glib-2.0 jansson)
for source in review/standin-2/*.c; do
  # shellcheck disable=SC2086
  ${CC:-gcc} $flags "$source" -o "$out/$(basename "$source" .c)" $libs -lpthread
done

#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start.
set -eu
cd "$(dirname "$0")"
mkdir -p build
gcc -std=c11 -O2 -Wall -Wextra -pthread -o build/yard \
  standin/yard.c standin/store.c standin/base.c -ljansson

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run.  TROUBLE=0: without the disruption.
HERE=$(cd "$(dirname "$0")" && pwd)
CASE=2
. "$HERE/../standin/run.sh"

#!/bin/sh
# Fails when a program or its settings name a deployment, a service, a zone or
# a kind of request that the service has been measured on: what depends on one
# serves no other.
set -eu
cd "$(dirname "$0")/.."
if grep -v '^#' tests/deployment-names.txt \
  | grep -rniFf - src platform deploy/gate.yaml deploy/orderer.yaml \
    deploy/system.toml; then
  echo "names of deployments stand in programs or settings" >&2
  exit 1
fi

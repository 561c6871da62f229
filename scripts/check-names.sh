#!/bin/sh
# Fails when a program or its settings contain the name of a deployment, a
# service, a zone or a kind of request from tests/deployment-names.txt: code that
# depends on such a name works for that deployment only.
set -eu
cd "$(dirname "$0")/.."
if grep -v '^#' tests/deployment-names.txt \
  | grep -rniFf - src platform deploy/gate.yaml deploy/orderer.yaml \
    deploy/system.toml; then
  echo "programs or settings contain names of deployments" >&2
  exit 1
fi

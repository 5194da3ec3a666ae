#!/usr/bin/env bash
# Builds the stand-ins of the cases 7 to 11: the platform's store, workers, clients and the
# network between clients and entries are one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/rig ./review/rig3

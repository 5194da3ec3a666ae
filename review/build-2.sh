#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The project's own programs are
# built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/rig2

#!/usr/bin/env bash
# Builds the stand-ins of the review. The build of the deploy file has to run first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig

#!/usr/bin/env bash
# Builds the stand-ins of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o bin/review-standin ./review/_standin

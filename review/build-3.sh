#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The programs of the deploy file are built by its
# own build command.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3/ ./review/stand-3

#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 6 to 10, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-stand-2 ./review/stand-2

#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin3 ./review/standin3

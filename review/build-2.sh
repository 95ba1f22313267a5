#!/bin/sh
# Builds the rig of the second review, which holds all stand-ins that its scripts start.
set -e
cd "$(dirname "$0")/.."
exec go build -tags review -o target/review-rig2 ./review/rig2

#!/bin/sh
# Builds the stand-ins of the cases that are scripts. The program itself is built by the line of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/stand ./review/stand

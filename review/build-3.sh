#!/bin/sh
# Builds the stand-ins of the third review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin3

#!/bin/sh
# Sends time-outs in seconds and reads them back. See claim.txt.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
exec target/standin2 times "$folder"

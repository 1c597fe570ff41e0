#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The program under test is built by the build line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/standin

#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases, beside the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-fleet ./review/fleet

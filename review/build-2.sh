#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases of the second review. Run it in the root of the
# repository or anywhere else, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/kit-2

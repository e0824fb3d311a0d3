#!/usr/bin/env bash
# build.sh builds the stand-in that the scripts of the cases start. The edges come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin review/standin/*.go

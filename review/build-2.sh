#!/usr/bin/env bash
# Builds the stand-ins of the script cases 4 to 8. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin-2 review/standin-2/*.go

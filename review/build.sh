#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases. The project itself is built first with the
# command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/standin ./review/standin

#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the project's own program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/examiner ./review/examiner

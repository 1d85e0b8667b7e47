#!/usr/bin/env bash
# Builds the program that plays the scripts of cases 11 to 15, with all stand-ins that they need. It needs
# no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/inspector ./review/inspector

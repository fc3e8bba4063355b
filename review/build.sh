#!/usr/bin/env bash
# Builds the stand-ins that the cases start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/ ./review/.standins/reviewrig

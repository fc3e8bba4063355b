#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10, after the build of the deploy file. It needs no network.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin && exec go build -o bin/ ./review/.standins/narrowrig

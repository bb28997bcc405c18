#!/bin/bash
# Builds the stand-ins of the cases: one Go program that uses the standard library only.
set -eu
cd "$(dirname "$0")/harness"
mkdir -p ../bin
GOFLAGS=-mod=mod CGO_ENABLED=0 go build -o ../bin/harness .

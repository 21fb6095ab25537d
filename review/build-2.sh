#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/. The programs of the deploy file are built as
# deploy/system.toml says.
set -eu
cd "$(dirname "$0")/.."
go build -o target/ ./review/testdata/fleet2

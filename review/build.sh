#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. The programs themselves are built as the
# deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/standin ./review/testdata/standin

#!/bin/bash
# Builds the stand-ins and the player of the cases. The project's own programs are built
# by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/...

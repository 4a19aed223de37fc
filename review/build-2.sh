#!/bin/bash
# Builds the program that plays the script cases of folders 4 and up. It holds every
# stand-in that they start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -buildvcs=false -o target/review/scenes ./review/scenes

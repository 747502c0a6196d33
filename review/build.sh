#!/bin/sh
# Builds the stand-ins that the cases start. They need nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/1/drain ./review/2/lost ./review/3/halls

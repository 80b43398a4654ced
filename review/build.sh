#!/bin/sh
# Builds the stand-ins of the cases; run it after the build of the deploy file. They need only the standard library.
set -eu
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q common 1 2 3

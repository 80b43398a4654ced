#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.  They are plain Python of the standard
# library and run in the process of their case; this checks that each compiles, and leaves nothing behind.
set -eu
cd "$(dirname "$0")/.."
for source in review/common2/*.py review/[6-9]/*.py review/10/*.py; do
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$source"
done

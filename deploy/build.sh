#!/bin/sh
# Makes .venv anew unless it is whole and holds just what requirements.txt asks for: the stamp is written last.
set -eu
cd "$(dirname "$0")/.."
if ! cmp -s requirements.txt .venv/installed.txt || ! .venv/bin/python -c 'import h11'; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip install -q --disable-pip-version-check -r requirements.txt
    cp requirements.txt .venv/installed.txt
fi
.venv/bin/python -m compileall -q sidecar_balancer

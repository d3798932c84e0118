#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python sources without dependencies.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins

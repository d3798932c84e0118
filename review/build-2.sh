#!/bin/sh
# The stand-ins of cases 4 and 5 are Python without libraries: nothing to build but the byte code, to see that it compiles.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins-2 4 5

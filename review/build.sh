#!/bin/sh
# The stand-ins are plain Python and need no packages: compiling them shows that they can be read.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-5]

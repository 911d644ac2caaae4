#!/bin/sh
# Builds the stand-ins of the scripts. They use only the standard library, so
# that compiling them is all there is to do.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q standins

#!/bin/sh
# What the second review's scripts need beside the build of the deploy file: the project's own stand-ins and the
# gateway of a site file for cases 6 and 7 (requirements.txt). The stand-ins of cases 8 to 10 are in standins_2.py
# and need the standard library only. Run it after the build of the deploy file; it needs the package mirror once.
set -eu
cd "$(dirname "$0")/.."
./run gorsethread version
.venv/bin/python -B -c 'import sys; assert sys.version_info >= (3, 11); sys.path.insert(0, "review"); import standins_2'

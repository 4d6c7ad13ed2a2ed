#!/bin/sh
# Builds what the cases need besides the deploy file's build: the project's own stand-ins (requirements.txt) for
# cases 1 and 3. The stand-ins of case 2 are in standins.py and need the standard library only.
set -eu
cd "$(dirname "$0")/.." && exec ./run gorsethread version

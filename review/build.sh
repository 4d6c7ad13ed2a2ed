#!/bin/sh
# Builds what the cases need besides the deploy file's build: the project's own stand-ins (requirements.txt) for
# case 1. The stand-ins of the other cases are in standins.py and need the standard library only.
set -eu
cd "$(dirname "$0")/.." && exec ./run gorsethread version

#!/bin/sh
# What the second review's scripts need beside the build of the deploy file: nothing is to be built. The
# stand-ins are plain Python (standard library only) and run on the interpreter of .venv. Checks both.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "build-2: .venv is missing; run the build of deploy/balancer.toml first" >&2; exit 1; }
.venv/bin/python -B -c 'import sys; assert sys.version_info >= (3, 11); sys.path.insert(0, "review"); import standins_2'
.venv/bin/python -B -c 'import gorsethread.http_gateway.__main__'

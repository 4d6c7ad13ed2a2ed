"""Serves the operators' simulator on standard input and output: one batch per line, one reply per line."""

import json
import sys

from gorsethread.gateway.scheduler_settings import MalformedInputError
from gorsethread.simulator_adapter.instances import Instances


def main() -> int:
    """Answers batches until the input ends; returns the exit status, 2 after a malformed line."""
    instances = Instances()
    for line in sys.stdin:
        if not line.strip():
            continue
        try:
            reply = instances.handle_line(line)
        except MalformedInputError as error:
            print(f"gorsethread: malformed line: {error}", file=sys.stderr)
            return 2
        if reply:
            sys.stdout.write(json.dumps(reply, separators=(",", ":")) + "\n")
            sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())

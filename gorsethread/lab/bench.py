"""Placeholder for the bench of a head against a plain relay."""
from collections.abc import Callable
from typing import Any

from gorsethread.sitefile import site_pb2 as pb
from gorsethread.transport.base import Transport


async def run_bench(transport: Transport, site: pb.Site, seconds: float, rounds: int,
                    say: Callable[[str], None]) -> dict[str, Any]:
    raise NotImplementedError

"""Discovery's answers, checked whole before anything of them is believed."""

from typing import Literal

import msgspec

State = Literal["ready", "draining", "gone"]


class Instance(msgspec.Struct, frozen=True, rename="camel"):
    """One backend; started_at_ms: Unix time, 0 for long ago."""

    instance_id: str
    host_port: str
    zone: str
    cell: int
    lifecycle: State
    started_at_ms: float = 0.0


class ListAnswer(msgspec.Struct, frozen=True):
    """reset: the whole list, else what changed."""

    generation: int
    reset: bool
    instances: list[Instance]

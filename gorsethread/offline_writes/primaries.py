"""Chooses the main-site gateways that apply writes, and when to replay for a branch's other gateway."""

from collections.abc import Iterable

from gorsethread.durable_log.replica_placement import weight

TAKEOVER_AFTER = 10.0  # seconds that membership has reported the branch's other gateway dead
DEAD_LETTER_AFTER = 60.0  # seconds without an answer from any gateway that may have run a write
PROBED_GATEWAYS = 2  # gateways of the main site to which heartbeats are sent


def primary_order(volume: int, gateways: Iterable[int]) -> list[int]:
    """Returns the gateways in order of preference: the primary first, then its standbys.

    All gateways compute the same order, so a write has the same primary for as long as that one is alive.
    """
    return sorted(gateways, key=lambda gateway: weight(volume, gateway), reverse=True)


class StandbyTakeover:
    """Decides when to replay for the branch's other gateway; owns the time since which that has been dead.

    A wrong decision is safe: each write is applied once, whichever gateway sends it.
    """

    def __init__(self) -> None:
        self._dead_since: float | None = None

    def should_replay(self, standby_is_alive: bool, now: float) -> bool:
        """Returns whether to replay for the other gateway now; `now` in seconds."""
        if standby_is_alive:
            self._dead_since = None
            return False
        if self._dead_since is None:
            self._dead_since = now
        return now - self._dead_since >= TAKEOVER_AFTER

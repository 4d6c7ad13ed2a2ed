"""Which main-site gateway applies a branch's writes, and when a branch's gateway replays for the other."""

from collections.abc import Iterable

from gorsethread.durable_log.replica_placement import weight

TAKEOVER_AFTER = 10.0  # seconds that the branch's other gateway has been held dead
DEAD_LETTER_AFTER = 60.0  # seconds that a gateway which may have run a write gives no answer
PROBED_GATEWAYS = 2  # of the main site, to which heartbeats go


def primary_order(volume: int, gateways: Iterable[int]) -> list[int]:
    """The primary first, then its standbys.

    All gateways order them alike, so that one write has one primary as long as that lives.
    """
    return sorted(gateways, key=lambda gateway: weight(volume, gateway), reverse=True)


class StandbyTakeover:
    """When to replay for the branch's other gateway; owns since when that has been held dead.

    Safe where it is wrong: each write is applied once, whoever sends it.
    """

    def __init__(self) -> None:
        self._dead_since: float | None = None

    def should_replay(self, standby_is_alive: bool, now: float) -> bool:
        """Whether to replay for the other gateway now."""
        if standby_is_alive:
            self._dead_since = None
            return False
        if self._dead_since is None:
            self._dead_since = now
        return now - self._dead_since >= TAKEOVER_AFTER

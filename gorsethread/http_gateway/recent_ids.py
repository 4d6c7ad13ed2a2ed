"""Remembers the ids of requests that may have run, so that none is sent to a backend again under its id."""

from collections import OrderedDict

REMEMBERED_SECONDS = 30.0  # far longer than an attempt runs
REMEMBERED_MAX = 16_384  # ids in each table
NEVER = float("-inf")


class RecentIds:
    """The ids of ended requests, for REMEMBERED_SECONDS, in two tables of at most so many ids each.

    The requests whose clients left may still be running at a backend. They have a table of their own, so that
    any number of answered requests makes none of them forgotten. The oldest ids are forgotten first.
    """

    def __init__(self, most: int = REMEMBERED_MAX) -> None:
        self._most = most
        self._answered: OrderedDict[int, float] = OrderedDict()  # by id: the time of the request's end
        self._abandoned: OrderedDict[int, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._answered) + len(self._abandoned)

    def add_answered(self, id: int, now: float) -> None:
        """Adds the id of a request that was answered; now is in seconds of any clock."""
        self._add(self._answered, id, now)

    def add_abandoned(self, id: int, now: float) -> None:
        """Adds the id of a request whose client left; now is in seconds of any clock."""
        self._add(self._abandoned, id, now)

    def contains(self, id: int, now: float) -> bool:
        """Returns whether the id is one of a request that ended within the last REMEMBERED_SECONDS."""
        ended_after = now - REMEMBERED_SECONDS
        return self._answered.get(id, NEVER) > ended_after or self._abandoned.get(id, NEVER) > ended_after

    def _add(self, table: OrderedDict[int, float], id: int, now: float) -> None:
        table[id] = now
        while len(table) > self._most or next(iter(table.values())) <= now - REMEMBERED_SECONDS:
            table.popitem(last=False)

    def forget_old(self, now: float) -> None:
        """Drops the ids whose time is over; now is in seconds of any clock."""
        for table in (self._answered, self._abandoned):
            while table and next(iter(table.values())) <= now - REMEMBERED_SECONDS:
                table.popitem(last=False)

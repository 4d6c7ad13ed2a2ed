"""The queued writes of the branch's other gateway, known from its replicated records."""

from collections.abc import Iterable

from gorsethread.durable_log.records import WriteQueued
from gorsethread.nvme_gateway.offline.branch_settings import BranchSettings
from gorsethread.nvme_gateway.offline.write_records import dependencies_of, write_of
from gorsethread.offline_writes.writes import ClientContext, Position, WriteNumber


class StandbyWrites:
    """Owns the other gateway's queued writes, and the writes that each of its clients has seen.

    A write is confirmed once a record of its progress arrives: it was accepted and not withdrawn. Entries are
    removed when a write is finished, except for the client contexts, which the site file bounds.
    """

    def __init__(self, settings: BranchSettings) -> None:
        self._settings = settings
        self._records: dict[WriteNumber, WriteQueued] = {}
        self._confirmed: set[WriteNumber] = set()
        self._dead_letters: set[WriteNumber] = set()
        self._not_resent: set[WriteNumber] = set()  # since the resync began
        self._contexts: dict[str, ClientContext] = {}  # by the client's host name

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, number: WriteNumber) -> bool:
        return number in self._records

    def numbers(self) -> list[WriteNumber]:
        """Returns the numbers of all writes, in order."""
        return sorted(self._records)

    def get(self, number: WriteNumber) -> WriteQueued | None:
        """Returns the record of a write, or None if it is not queued."""
        return self._records.get(number)

    def record_of(self, number: WriteNumber) -> WriteQueued:
        """Returns the record of a queued write."""
        return self._records[number]

    def writes_of_key(self, ordering_key: str) -> set[WriteNumber]:
        """Returns the writes with an ordering key."""
        return {number for number, record in self._records.items() if record.key == ordering_key}

    def known_to(self, host: str) -> set[WriteNumber]:
        """Returns the writes that a client has seen through the other gateway."""
        context = self._contexts.get(host)
        return context.seen if context is not None else set()

    def is_confirmed(self, number: WriteNumber) -> bool:
        """Returns whether the write is known to be accepted."""
        return number in self._confirmed

    def is_dead_lettered(self, number: WriteNumber) -> bool:
        """Returns whether the write waits for an operator's decision."""
        return number in self._dead_letters

    @property
    def dead_letters(self) -> set[WriteNumber]:
        """The writes that wait for an operator's decision."""
        return set(self._dead_letters)

    def unconfirmed_dependencies(self, number: WriteNumber) -> list[WriteNumber]:
        """Returns the dependencies of a write that may yet be withdrawn, otherwise none."""
        record = self._records.get(number)
        return [] if record is None or self.is_confirmed(number) else dependencies_of(record)

    def begin_resync(self) -> None:
        """Begins a resync: the other gateway sends all its writes again, except for finished ones."""
        self._not_resent = set(self._records)

    def add(self, number: WriteNumber, record: WriteQueued) -> bool:
        """Adds a write that the other gateway sent.

        Returns:
            Whether it was not here yet.
        """
        self._not_resent.discard(number)
        if number in self._records:
            return False
        self._records[number] = record
        self._contexts.setdefault(record.host, ClientContext()).observe(number)
        return True

    def pop_not_resent(self, last: Position) -> Iterable[WriteNumber]:
        """Returns, once each, the writes up to `last` that the resync omitted, as they are finished."""
        omitted = [number for number in self._not_resent if number.position <= last]
        self._not_resent.difference_update(omitted)
        return omitted

    def confirm(self, number: WriteNumber) -> None:
        """Notes that a queued write is known to be accepted."""
        if number in self._confirmed:
            return
        self._confirmed.add(number)
        record = self._records[number]
        self._contexts[record.host].acknowledge(write_of(number, record, self._settings))

    def dead_letter(self, number: WriteNumber) -> None:
        """Notes that a write waits for an operator's decision."""
        self._dead_letters.add(number)

    def release(self, number: WriteNumber) -> None:
        """Notes that a write no longer waits for an operator's decision."""
        self._dead_letters.discard(number)

    def mark_applied(self, number: WriteNumber) -> None:
        """Removes the record of a write that this gateway replayed.

        The rest of its state goes once the other gateway's records show that it is finished.
        """
        self._records.pop(number, None)

    def remove(self, number: WriteNumber) -> None:
        """Removes a finished write."""
        self._records.pop(number, None)
        self._dead_letters.discard(number)
        self._confirmed.discard(number)

"""The writes of the branch's other gateway, as its records that this gateway holds show them."""

from collections.abc import Iterable

from gorsethread.durable_log.records import WriteQueued
from gorsethread.nvme_gateway.offline.branch_settings import BranchSettings
from gorsethread.nvme_gateway.offline.write_records import dependencies_of, write_of
from gorsethread.offline_writes.writes import ClientContext, Position, WriteNumber


class StandbyWrites:
    """Owns the other gateway's queued writes, and what its clients know of them.

    A write is confirmed once a record of its progress came: it was accepted and not withdrawn. All but the
    contexts (as many as the site names clients) is emptied as the writes are finished.
    """

    def __init__(self, settings: BranchSettings) -> None:
        self._settings = settings
        self._records: dict[WriteNumber, WriteQueued] = {}
        self._confirmed: set[WriteNumber] = set()
        self._dead_letters: set[WriteNumber] = set()
        self._not_resent: set[WriteNumber] = set()  # by the records that begin anew, so far
        self._contexts: dict[str, ClientContext] = {}  # by client's host

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, number: WriteNumber) -> bool:
        return number in self._records

    def numbers(self) -> list[WriteNumber]:
        """All of them, in their order."""
        return sorted(self._records)

    def get(self, number: WriteNumber) -> WriteQueued | None:
        """The record of a write, while it is queued."""
        return self._records.get(number)

    def record_of(self, number: WriteNumber) -> WriteQueued:
        """The record of a write that is queued."""
        return self._records[number]

    def writes_of_key(self, ordering_key: str) -> set[WriteNumber]:
        """The writes of one ordering key."""
        return {number for number, record in self._records.items() if record.key == ordering_key}

    def known_to(self, host: str) -> set[WriteNumber]:
        """What a client knows through the other gateway."""
        context = self._contexts.get(host)
        return context.seen if context is not None else set()

    def is_confirmed(self, number: WriteNumber) -> bool:
        """It was accepted for certain."""
        return number in self._confirmed

    def is_dead_lettered(self, number: WriteNumber) -> bool:
        """It waits for a person."""
        return number in self._dead_letters

    @property
    def dead_letters(self) -> set[WriteNumber]:
        """All that wait for a person."""
        return set(self._dead_letters)

    def unconfirmed_dependencies(self, number: WriteNumber) -> list[WriteNumber]:
        """Of a write that may yet be withdrawn, what it depends on."""
        record = self._records.get(number)
        return [] if record is None or self.is_confirmed(number) else dependencies_of(record)

    def begin_resync(self) -> None:
        """The other gateway names all its writes again; what it does not name is finished."""
        self._not_resent = set(self._records)

    def add(self, number: WriteNumber, record: WriteQueued) -> bool:
        """The other gateway names a write.

        Returns:
            Whether it is a new one.
        """
        self._not_resent.discard(number)
        if number in self._records:
            return False
        self._records[number] = record
        self._contexts.setdefault(record.host, ClientContext()).observe(number)
        return True

    def pop_not_resent(self, last: Position) -> Iterable[WriteNumber]:
        """The writes up to there that were not named since its records began anew: they are finished."""
        unnamed = [number for number in self._not_resent if number.position <= last]
        self._not_resent.difference_update(unnamed)
        return unnamed

    def confirm(self, number: WriteNumber) -> None:
        """A queued write was accepted for certain."""
        if number in self._confirmed:
            return
        self._confirmed.add(number)
        record = self._records[number]
        self._contexts[record.host].acknowledge(write_of(number, record, self._settings))

    def dead_letter(self, number: WriteNumber) -> None:
        """A write waits for a person."""
        self._dead_letters.add(number)

    def release(self, number: WriteNumber) -> None:
        """A write waits for a person no more."""
        self._dead_letters.discard(number)

    def mark_applied(self, number: WriteNumber) -> None:
        """This gateway replayed a write; the other one's records will say that it is finished."""
        self._records.pop(number, None)

    def remove(self, number: WriteNumber) -> None:
        """A write is finished."""
        self._records.pop(number, None)
        self._dead_letters.discard(number)
        self._confirmed.discard(number)

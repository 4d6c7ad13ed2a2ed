"""Applies one replayed write at the main site, by the gateway's own decisions, as a request like others."""

from collections.abc import Callable

from gorsethread.gateway.driver import Driver
from gorsethread.gateway.interfaces import Extent, Placement
from gorsethread.gateway.open_requests import OpenRequest
from gorsethread.head.facts import Sorter, units_of
from gorsethread.head.links import Order
from gorsethread.nvme.command import Command, Opcode, io_command
from gorsethread.nvme.subsystem import BLOCK
from gorsethread.offline_writes.applied_writes import ReplayOutcome
from gorsethread.offline_writes.base_versions import block_digests, combined_version
from gorsethread.offline_writes.messages import ReplayWrite
from gorsethread.recovery.stages import RETRY_AFTER as RETRY_AFTER_FAILURE
from gorsethread.sitefile import site_pb2 as pb
from gorsethread.transport.base import Transport

MIN_TIMEOUT = 0.001  # seconds
MAX_HINTS = 0xFF
MAX_ATTEMPT = 0x7F
IDEMPOTENCY_KEY_LIMIT = 1 << 64

Finished = Callable[[ReplayOutcome, float], None]  # with the Retry-After in seconds
RequestFinished = Callable[[ReplayOutcome, bytes, float], None]  # with the data of a read, the Retry-After


class ReplayRequest:
    """A replayed write, or the read before it, as a client of the driver; owns its open request."""

    def __init__(self, finished: RequestFinished, idempotent: bool, driver: Driver) -> None:
        self._finished = finished
        self._idempotent = idempotent
        self._driver = driver
        self._open: OpenRequest | None = None

    def opened(self, request: OpenRequest) -> None:
        """The driver took it."""
        self._open = request

    def succeeded(self, _shard: int, data: bytes) -> None:
        """A backend did it."""
        self._finished(ReplayOutcome.APPLIED, data, 0.0)

    def rejected(self, return_after: float) -> None:
        """It was rejected with that Retry-After."""
        self._finished(self._outcome(), b"", return_after)

    def failed(self) -> None:
        """It failed."""
        self._finished(self._outcome(), b"", RETRY_AFTER_FAILURE)

    def _outcome(self) -> ReplayOutcome:
        """RETRY where none of its attempts may have run, or that does no harm."""
        assert self._open is not None
        request = self._driver.scheduler.requests.get(self._open.id)
        may_have_run = request is None or request.ran_at is not None
        return ReplayOutcome.UNKNOWN if may_have_run and not self._idempotent else ReplayOutcome.RETRY


class ReplayExecutor:
    """Hands replayed writes to the driver, which owns them while they run.

    Args:
        transport: Tells the time.
        site: The site file.
        driver: Of this gateway.
        placement: Of extents.
    """

    def __init__(self, transport: Transport, site: pb.Site, driver: Driver, placement: Placement) -> None:
        self._transport = transport
        self._site = site
        self._driver = driver
        self._placement = placement
        self._classifier = Sorter(site)
        self._volumes = {volume.number: volume for volume in site.volume}
        self._service_tiers = {tier.name: index for index, tier in enumerate(site.plan)}

    def has_request_class(self, request_class: int) -> bool:
        """The site file has a class of that index."""
        return 0 <= request_class < len(self._site.profile)

    def is_idempotent(self, request_class: int) -> bool:
        """Writes of that class may be applied twice without harm."""
        return self._site.profile[request_class].effect == pb.REDOABLE

    def fits(self, message: ReplayWrite) -> bool:
        """The write lies within a volume of the site file, and its fields within their ranges."""
        volume = self._volumes.get(message.volume)
        if volume is None or message.data == b"" or len(message.data) % BLOCK != 0:
            return False
        within_volume = 0 <= message.block <= volume.blocks - len(message.data) // BLOCK
        known_key = 0 <= message.idempotency_key < IDEMPOTENCY_KEY_LIMIT
        known_attempt = 0 <= message.attempt <= MAX_ATTEMPT
        return within_volume and known_key and known_attempt and 0 <= message.hints <= MAX_HINTS

    def execute(self, message: ReplayWrite, finished: Finished) -> None:
        """Applies a write; where the branch saw its blocks, only if they still hold that, or the new data.

        Args:
            message: The write, which fits.
            finished: Called once, with APPLIED, UNKNOWN, CONFLICT or RETRY.
        """
        if not message.base_version:
            self._write(message, finished)
            return

        def read(outcome: ReplayOutcome, data: bytes, retry_after: float) -> None:
            if outcome is not ReplayOutcome.APPLIED:
                finished(ReplayOutcome.RETRY, retry_after)
                return
            found = combined_version(block_digests(data, BLOCK))
            if found in (message.base_version, combined_version(block_digests(message.data, BLOCK))):
                self._write(message, finished)
            else:
                finished(ReplayOutcome.CONFLICT, 0.0)

        volume = self._volumes[message.volume]
        request_class = self._classifier.profile(volume.plan, Opcode.READ, len(message.data), 0)
        command = io_command(
            Opcode.READ,
            message.volume,
            message.block,
            len(message.data) // BLOCK,
            hints=0,
            attempt=0,
            label=0,
        )
        order = Order(command, b"", len(message.data))
        self._open(message, order, request_class, ReplayRequest(read, True, self._driver))

    def _write(self, message: ReplayWrite, finished: Finished) -> None:
        def written(outcome: ReplayOutcome, _data: bytes, retry_after: float) -> None:
            finished(outcome, retry_after)

        order = Order(self._write_command(message), message.data, 0)
        idempotent = self.is_idempotent(message.request_class)
        request = ReplayRequest(written, idempotent, self._driver)
        self._open(message, order, message.request_class, request)

    def _write_command(self, message: ReplayWrite) -> Command:
        return io_command(
            Opcode.WRITE,
            message.volume,
            message.block,
            len(message.data) // BLOCK,
            hints=message.hints,
            attempt=message.attempt,
            label=message.idempotency_key,
        )

    def _open(self, message: ReplayWrite, order: Order, request_class: int, request: ReplayRequest) -> None:
        volume = self._volumes[message.volume]
        known = self._site.profile[request_class]
        extent = message.block // volume.extent_blocks
        now = self._transport.now()
        timeout = max(MIN_TIMEOUT, known.cut_off - self._site.rules.answer_slack)
        request.opened(
            self._driver.admit(
                request,
                order,
                request_class=request_class,
                service_tier=self._service_tiers[volume.plan],
                key=f"{message.volume}/{extent}" if known.in_order else None,
                deadline=now + timeout,
                volume=message.volume,
                units=float(units_of(len(message.data), self._site.links.unit_bytes)),
                shard=self._placement.shard_of(message.volume, extent),
                gateways=len(volume.head),
                is_retry=message.attempt > 0,
                arrived=now,
                extent=Extent(message.volume, extent),
            )
        )

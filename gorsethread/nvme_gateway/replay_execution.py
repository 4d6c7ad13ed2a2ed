"""Executes replayed writes at the main site as requests of the gateway's driver, like those of clients."""

from collections.abc import Callable

from gorsethread.gateway.driver import Driver
from gorsethread.gateway.interfaces import Extent, Placement
from gorsethread.gateway.open_requests import OpenRequest
from gorsethread.nvme.command import Command, Opcode, io_command
from gorsethread.nvme.subsystem import BLOCK
from gorsethread.nvme_gateway.backend_link import BackendCommand
from gorsethread.nvme_gateway.scheduler_settings import RequestClassifier, request_units
from gorsethread.offline_writes.applied_writes import ReplayOutcome
from gorsethread.offline_writes.base_versions import block_digests, combined_version
from gorsethread.offline_writes.messages import ReplayWrite
from gorsethread.recovery.stages import RETRY_AFTER as RETRY_AFTER_FAILURE
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.base import Transport

MIN_TIMEOUT = 0.001  # seconds
MAX_HINTS = 0xFF
MAX_ATTEMPT = 0x7F
IDEMPOTENCY_KEY_LIMIT = 1 << 64

OnFinished = Callable[[ReplayOutcome, float], None]  # outcome, Retry-After in seconds
# Outcome, data of a read, Retry-After in seconds.
OnRequestFinished = Callable[[ReplayOutcome, bytes, float], None]


class ReplayRequest:
    """A replayed write, or the read that precedes it, as a client of the driver; owns its open request."""

    def __init__(self, on_finished: OnRequestFinished, idempotent: bool, driver: Driver) -> None:
        self._on_finished = on_finished
        self._idempotent = idempotent
        self._driver = driver
        self._open: OpenRequest | None = None

    def opened(self, request: OpenRequest) -> None:
        """Note the request that the driver admitted."""
        self._open = request

    def succeeded(self, _shard: int, data: bytes) -> None:
        """Report that a backend executed the request."""
        self._on_finished(ReplayOutcome.APPLIED, data, 0.0)

    def rejected(self, return_after: float) -> None:
        """Report that the request was rejected with this Retry-After in seconds."""
        self._on_finished(self._outcome(), b"", return_after)

    def failed(self) -> None:
        """Report that the request failed."""
        self._on_finished(self._outcome(), b"", RETRY_AFTER_FAILURE)

    def _outcome(self) -> ReplayOutcome:
        """Return RETRY where no attempt may have run, or a second run does no harm; else UNKNOWN."""
        assert self._open is not None
        request = self._driver.scheduler.requests.get(self._open.id)
        may_have_run = request is None or request.ran_at is not None
        return ReplayOutcome.UNKNOWN if may_have_run and not self._idempotent else ReplayOutcome.RETRY


class ReplayExecutor:
    """Passes replayed writes to the driver, which owns them while they run.

    Args:
        transport: The clock.
        site: The site file.
        driver: This gateway's driver.
        placement: The shards of extents.
    """

    def __init__(self, transport: Transport, site: pb.Site, driver: Driver, placement: Placement) -> None:
        self._transport = transport
        self._site = site
        self._driver = driver
        self._placement = placement
        self._classifier = RequestClassifier(site)
        self._volumes = {volume.number: volume for volume in site.volume}
        self._service_tiers = {tier.name: index for index, tier in enumerate(site.plan)}

    def has_request_class(self, request_class: int) -> bool:
        """Return whether the site file has a request class with this index."""
        return 0 <= request_class < len(self._site.profile)

    def is_idempotent(self, request_class: int) -> bool:
        """Return whether writes of this class may be applied twice without harm."""
        return self._site.profile[request_class].effect == pb.REDOABLE

    def fits(self, message: ReplayWrite) -> bool:
        """Return whether the write is within a volume of the site file and its fields are valid."""
        volume = self._volumes.get(message.volume)
        if volume is None or message.data == b"" or len(message.data) % BLOCK != 0:
            return False
        within_volume = 0 <= message.block <= volume.blocks - len(message.data) // BLOCK
        valid_key = 0 <= message.idempotency_key < IDEMPOTENCY_KEY_LIMIT
        valid_attempt = 0 <= message.attempt <= MAX_ATTEMPT
        return within_volume and valid_key and valid_attempt and 0 <= message.hints <= MAX_HINTS

    def execute(self, message: ReplayWrite, on_finished: OnFinished) -> None:
        """Apply a write; a write with a base version is applied only if its blocks have not changed since.

        They count as unchanged if they hold what the branch last saw in them, or already the new data.

        Args:
            message: A write for which fits() is true.
            on_finished: Called once, with APPLIED, UNKNOWN, CONFLICT or RETRY.
        """
        if not message.base_version:
            self._write(message, on_finished)
            return

        def on_read(outcome: ReplayOutcome, data: bytes, retry_after: float) -> None:
            if outcome is not ReplayOutcome.APPLIED:
                on_finished(ReplayOutcome.RETRY, retry_after)
                return
            current_version = combined_version(block_digests(data, BLOCK))
            if current_version in (
                message.base_version,
                combined_version(block_digests(message.data, BLOCK)),
            ):
                self._write(message, on_finished)
            else:
                on_finished(ReplayOutcome.CONFLICT, 0.0)

        volume = self._volumes[message.volume]
        request_class = self._classifier.classify(volume.plan, Opcode.READ, len(message.data), 0)
        command = io_command(
            Opcode.READ,
            message.volume,
            message.block,
            len(message.data) // BLOCK,
            hints=0,
            attempt=0,
            label=0,
        )
        order = BackendCommand(command, b"", len(message.data))
        self._open(message, order, request_class, ReplayRequest(on_read, True, self._driver))

    def _write(self, message: ReplayWrite, on_finished: OnFinished) -> None:
        def on_written(outcome: ReplayOutcome, _data: bytes, retry_after: float) -> None:
            on_finished(outcome, retry_after)

        order = BackendCommand(self._write_command(message), message.data, 0)
        idempotent = self.is_idempotent(message.request_class)
        request = ReplayRequest(on_written, idempotent, self._driver)
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

    def _open(
        self, message: ReplayWrite, order: BackendCommand, request_class: int, request: ReplayRequest
    ) -> None:
        volume = self._volumes[message.volume]
        class_settings = self._site.profile[request_class]
        extent = message.block // volume.extent_blocks
        now = self._transport.now()
        timeout = max(MIN_TIMEOUT, class_settings.cut_off - self._site.rules.answer_slack)
        request.opened(
            self._driver.admit(
                request,
                order,
                request_class=request_class,
                service_tier=self._service_tiers[volume.plan],
                key=f"{message.volume}/{extent}" if class_settings.in_order else None,
                deadline=now + timeout,
                volume=message.volume,
                units=float(request_units(len(message.data), self._site.links.unit_bytes)),
                shard=self._placement.shard_of(message.volume, extent),
                gateways=len(volume.head),
                is_retry=message.attempt > 0,
                arrived=now,
                extent=Extent(message.volume, extent),
                is_write=order.command.opcode == Opcode.WRITE,
            )
        )

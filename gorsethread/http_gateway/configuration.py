"""Reads the configuration file that GW_CONFIG names, at the start and again at SIGHUP.

Only this module uses the operators' field names, as aliases of the types below; those of the scheduler's
settings are used only in `gorsethread.gateway.scheduler_settings`. Unknown fields are ignored.
"""

import json
import math
import re
from dataclasses import dataclass, fields, replace
from typing import Any

import msgspec

from gorsethread.gateway.scheduler_settings import (
    JsonObject,
    MalformedInputError,
    read_scheduler_settings,
)
from gorsethread.http_gateway.addresses import Address, UnusableConfigurationError, parse_address
from gorsethread.http_gateway.endpoint_list import ListAnswer
from gorsethread.scheduling.model import SchedulerSettings

Unchecked = Any  # the type of a field that is not checked; a value of a wrong type matches no request
MIN_SOCKETS = 32
DEFAULT_MEMORY = 64.0  # megabytes, where the configuration gives none
# Stands for a missing list, which does not count as a complete one.
NO_LIST = ListAnswer(generation=0, reset=False, instances=[])
DECODING_ERROR = re.compile(r"(?P<reason>.*?)(?: - at `\$\.?(?P<field>.*)`)?", re.DOTALL)
MISSING_FIELD = re.compile(r"Object missing required field `(.*)`")


@dataclass(frozen=True)
class RequestNames:
    """The numbers of request classes, tiers and zones by name, and the bounds of a request's figures.

    A number is the position in the settings.
    """

    request_classes: dict[bytes, int]
    service_tiers: dict[bytes, int]
    zones: dict[str, int]
    max_units: float
    shards: float


@dataclass(frozen=True)
class Configuration:
    """One gateway's configuration.

    memory is what the process may use, in megabytes. connect_timeout and idle_timeout are for connections to
    backends, in seconds. longest_wait is the longest time that a client waits, in seconds. known_endpoints is
    the endpoint list to start with. pushed says that the list is pushed to discovery's agent on this machine,
    so that a new process counts as notified of it from its start. peers holds every gateway's address by its
    number, this one's included, if gateways may send each other messages; else it is empty.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory: float
    known_endpoints: ListAnswer
    scheduler_settings: SchedulerSettings
    request_names: RequestNames
    connect_timeout: float
    idle_timeout: float
    longest_wait: float
    pushed: bool = False
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()


class _Limits(msgspec.Struct):
    sockets: int
    memory: float = msgspec.field(name="memory_mb", default=DEFAULT_MEMORY)


class _Permissions(msgspec.Struct):
    connect_timeout: float = msgspec.field(name="dialTimeout")
    idle_timeout: float = msgspec.field(name="connIdle")


class _RequestClass(msgspec.Struct):
    name: str
    longest_wait: float | bool = msgspec.field(name="giveUp", default=0.0)


class _ServiceTier(msgspec.Struct):
    name: str


class _Bounds(msgspec.Struct):
    shards: Unchecked


class _Settings(msgspec.Struct):
    """The settings that the gateway itself uses; the scheduler's are read separately."""

    permissions: _Permissions
    request_classes: list[_RequestClass] = msgspec.field(name="services")
    service_tiers: list[_ServiceTier] = msgspec.field(name="grades")
    bounds: _Bounds = msgspec.field(name="specifics")
    zones: Unchecked = msgspec.field(name="azs", default_factory=list)


class _File(msgspec.Struct):
    """The decoded file; addresses are parsed later, so that errors can quote them."""

    name: str
    listen: Any
    discovery: Any
    seed: str | int
    limits: _Limits
    settings: _Settings
    known: ListAnswer = NO_LIST
    peers: Any = msgspec.UNSET
    peer_listen: Any = msgspec.UNSET


def read_configuration(raw: bytes | None, path: str) -> Configuration:
    """Returns the configuration in the bytes of a file; raw is None for a file that can't be read.

    Raises UnusableConfigurationError, with the file's path in front, for anything missing or invalid.
    """
    if raw is None:
        raise UnusableConfigurationError(f"{path}: can't be read")
    try:
        # Uses the standard library's decoder, as msgspec's rejects NaN without naming the field.
        given = json.loads(raw, object_hook=JsonObject)
    except ValueError as error:
        raise UnusableConfigurationError(f"{path}: not valid JSON: {error}") from None
    try:
        file = msgspec.convert(given, _File)
        return _configuration(file, _scheduler_settings(given["settings"]))
    except msgspec.ValidationError as error:
        raise UnusableConfigurationError(f"{path}: {_field_and_reason(str(error))}") from None
    except UnusableConfigurationError as error:
        raise UnusableConfigurationError(f"{path}: {error}") from None
    except (TypeError, ValueError) as error:  # names that are not Unicode text, zones that are not a list
        raise UnusableConfigurationError(f"{path}: a value has the wrong type: {error}") from None


def _field_and_reason(text: str) -> str:
    """Returns a decoding error's text with the field in front."""
    parts = DECODING_ERROR.fullmatch(text)
    field = parts["field"] or "" if parts else ""
    reason = parts["reason"] if parts else text
    missing = MISSING_FIELD.fullmatch(reason)
    if missing:
        field = f"{field}.{missing[1]}" if field else missing[1]
        reason = "is missing"
    return f"{field}: {reason}" if field else reason


def _scheduler_settings(given: JsonObject) -> SchedulerSettings:
    try:
        settings = read_scheduler_settings(given)
    except MalformedInputError as error:
        raise UnusableConfigurationError(f"settings: {error}") from None
    except (TypeError, AttributeError, KeyError, ValueError) as error:
        raise UnusableConfigurationError(f"settings: a value has the wrong type: {error}") from None
    if not settings.request_classes or not settings.service_tiers:
        raise UnusableConfigurationError(
            "settings: at least one request class and one service tier are needed"
        )
    for part in (settings, settings.slow_start, *settings.request_classes, *settings.service_tiers):
        _check_numbers(part)
    if settings.retry_budget:
        _check_numbers(settings.retry_budget)
    return settings


def _check_numbers(part: Any) -> None:
    """Rejects settings with a non-number in place of a number, which would end a gateway that serves."""
    for field in fields(part):
        value = getattr(part, field.name)
        if field.type in (int, float) and (type(value) not in (int, float) or not math.isfinite(value)):
            raise UnusableConfigurationError(
                f"settings: {type(part).__name__} {field.name}: {value!r} is not a finite number"
            )


def _configuration(file: _File, settings: SchedulerSettings) -> Configuration:
    if file.limits.sockets < MIN_SOCKETS:
        raise UnusableConfigurationError(f"limits.sockets: {file.limits.sockets} is less than {MIN_SOCKETS}")
    if not 0 < file.limits.memory < math.inf:
        raise UnusableConfigurationError(f"limits.memory_mb: {file.limits.memory} is not a positive number")
    peer_listen, peers = _peers(file, settings)
    given = file.settings
    return Configuration(
        name=file.name,
        listen=parse_address(file.listen, "listen"),
        discovery=parse_address(file.discovery, "discovery"),
        seed=_seed(file.seed),
        sockets=file.limits.sockets,
        memory=file.limits.memory,
        known_endpoints=file.known,
        # Polls in either mode: pushed lists go to the agent on this machine, which the gateway watches.
        scheduler_settings=replace(settings, may_send_messages=bool(peers), polls_endpoints=True),
        request_names=RequestNames(
            {named.name.encode(): number for number, named in enumerate(given.request_classes)},
            {named.name.encode(): number for number, named in enumerate(given.service_tiers)},
            {name: number for number, name in enumerate(given.zones)},
            settings.largest_request_units,
            given.bounds.shards,
        ),
        connect_timeout=given.permissions.connect_timeout,
        idle_timeout=given.permissions.idle_timeout,
        longest_wait=float(max(item.longest_wait for item in given.request_classes)),
        pushed=not settings.polls_endpoints,
        peer_listen=peer_listen,
        peers=peers,
    )


def _seed(given: str | int) -> int:
    """Returns the seed, which is a number or a text of hexadecimal digits."""
    if isinstance(given, int):
        return given
    try:
        return int(given, 16)
    except ValueError:
        raise UnusableConfigurationError(f"seed: {given!r} is not a hexadecimal number") from None


def _peers(file: _File, settings: SchedulerSettings) -> tuple[Address | None, tuple[Address, ...]]:
    """Returns the address to receive messages at and every gateway's address; none if messages are off.

    A list that does not fit the settings is rejected: harm would result if two gateways meant different
    gateways by the same number.
    """
    if not settings.may_send_messages or file.peers is msgspec.UNSET or file.peer_listen is msgspec.UNSET:
        return None, ()
    if not isinstance(file.peers, list):
        raise UnusableConfigurationError(f"peers: {file.peers!r} is not a list")
    peers = tuple(parse_address(peer, f"peers.{number}") for number, peer in enumerate(file.peers))
    if len(peers) != settings.gateways or len(set(peers)) != len(peers):
        raise UnusableConfigurationError(
            f"peers: {len(set(peers))} different addresses for {settings.gateways} gateways"
        )
    if type(settings.gateway_index) is not int or not 0 <= settings.gateway_index < settings.gateways:
        raise UnusableConfigurationError(
            f"settings.index: {settings.gateway_index!r} is not an index into {settings.gateways} gateways"
        )
    return parse_address(file.peer_listen, "peer_listen"), peers

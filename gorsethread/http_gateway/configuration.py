"""What a gateway is given at its start and again at SIGHUP: the file that GW_CONFIG names.

The operators' names of fields end here, as aliases of the types below; those of the scheduler's settings end
in `gorsethread.gateway.scheduler_settings`. Unknown fields are ignored.
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

Unchecked = Any  # a field that is taken as it stands; a value of another kind matches no request
MIN_SOCKETS = 32
# No list at all, so none that is complete.
NO_LIST = ListAnswer(generation=0, reset=False, instances=[])
DECODING_ERROR = re.compile(r"(?P<reason>.*?)(?: - at `\$\.?(?P<place>.*)`)?", re.DOTALL)
MISSING_FIELD = re.compile(r"Object missing required field `(.*)`")


@dataclass(frozen=True)
class RequestNames:
    """What requests call their class, tier and zone, by places in the settings; bounds of their figures."""

    request_classes: dict[bytes, int]
    service_tiers: dict[bytes, int]
    zones: dict[str, int]
    max_units: float
    shards: float


@dataclass(frozen=True)
class Configuration:
    """One gateway's configuration.

    connect_timeout, idle_timeout: seconds, of connections to backends. longest_wait: seconds that a client
    waits at most. pushed: whether discovery's agent on this machine is sent the list, so that a new process
    counts as notified of it from its first moment. peers: every gateway's address by its number, this
    one's included, where gateways may send each other messages; else none.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
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
    """The settings that the gateway itself uses; the scheduler's are read beside them."""

    permissions: _Permissions
    request_classes: list[_RequestClass] = msgspec.field(name="services")
    service_tiers: list[_ServiceTier] = msgspec.field(name="grades")
    bounds: _Bounds = msgspec.field(name="specifics")
    zones: Unchecked = msgspec.field(name="azs", default_factory=list)


class _File(msgspec.Struct):
    """The file as it stands; addresses are parsed where they are used, for errors that quote them."""

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
    """The configuration in the bytes of a file; None for a file that can't be read.

    Raises UnusableConfigurationError, with the file's path in front, for what is missing or wrong.
    """
    if raw is None:
        raise UnusableConfigurationError(f"{path}: can't be read")
    try:
        # The standard library's decoder: msgspec's refuses NaN without naming its place.
        given = json.loads(raw, object_hook=JsonObject)
    except ValueError as error:
        raise UnusableConfigurationError(f"{path}: is not JSON: {error}") from None
    try:
        file = msgspec.convert(given, _File)
        return _configuration(file, _scheduler_settings(given["settings"]))
    except msgspec.ValidationError as error:
        raise UnusableConfigurationError(f"{path}: {_place_and_reason(str(error))}") from None
    except UnusableConfigurationError as error:
        raise UnusableConfigurationError(f"{path}: {error}") from None
    except (TypeError, ValueError) as error:  # names that are no Unicode text, zones that are no list
        raise UnusableConfigurationError(f"{path}: something is of the wrong kind: {error}") from None


def _place_and_reason(text: str) -> str:
    """A decoding error with its place in front."""
    parts = DECODING_ERROR.fullmatch(text)
    place = parts["place"] or "" if parts else ""
    reason = parts["reason"] if parts else text
    missing = MISSING_FIELD.fullmatch(reason)
    if missing:
        place = f"{place}.{missing[1]}" if place else missing[1]
        reason = "is missing"
    return f"{place}: {reason}" if place else reason


def _scheduler_settings(given: JsonObject) -> SchedulerSettings:
    try:
        settings = read_scheduler_settings(given)
    except MalformedInputError as error:
        raise UnusableConfigurationError(f"settings: {error}") from None
    except (TypeError, AttributeError, KeyError, ValueError) as error:
        raise UnusableConfigurationError(f"settings: something is of the wrong kind: {error}") from None
    if not settings.request_classes or not settings.service_tiers:
        raise UnusableConfigurationError("settings: no request class or no service tier")
    for part in (settings, settings.slow_start, *settings.request_classes, *settings.service_tiers):
        _check_numbers(part)
    if settings.retry_budget:
        _check_numbers(settings.retry_budget)
    return settings


def _check_numbers(part: Any) -> None:
    """Refuses settings with a text in place of a number, which would end a gateway that serves."""
    for field in fields(part):
        value = getattr(part, field.name)
        if field.type in (int, float) and (type(value) not in (int, float) or not math.isfinite(value)):
            raise UnusableConfigurationError(
                f"settings: {type(part).__name__} {field.name}: {value!r} is no number"
            )


def _configuration(file: _File, settings: SchedulerSettings) -> Configuration:
    if file.limits.sockets < MIN_SOCKETS:
        raise UnusableConfigurationError(f"limits.sockets: {file.limits.sockets} are too few to serve with")
    peer_listen, peers = _peers(file, settings)
    given = file.settings
    return Configuration(
        name=file.name,
        listen=parse_address(file.listen, "listen"),
        discovery=parse_address(file.discovery, "discovery"),
        seed=_seed(file.seed),
        sockets=file.limits.sockets,
        known_endpoints=file.known,
        # Also where lists are pushed, it is to the machine's agent, which a gateway hears by its own watch.
        scheduler_settings=replace(settings, may_send_messages=bool(peers), polls_endpoints=True),
        request_names=RequestNames(
            {one.name.encode(): number for number, one in enumerate(given.request_classes)},
            {one.name.encode(): number for number, one in enumerate(given.service_tiers)},
            {name: number for number, name in enumerate(given.zones)},
            settings.largest_request_units,
            given.bounds.shards,
        ),
        connect_timeout=given.permissions.connect_timeout,
        idle_timeout=given.permissions.idle_timeout,
        longest_wait=float(max(one.longest_wait for one in given.request_classes)),
        pushed=not settings.polls_endpoints,
        peer_listen=peer_listen,
        peers=peers,
    )


def _seed(given: str | int) -> int:
    """A number, or one in hexadecimal digits."""
    if isinstance(given, int):
        return given
    try:
        return int(given, 16)
    except ValueError:
        raise UnusableConfigurationError(f"seed: {given!r} is no number in hexadecimal digits") from None


def _peers(file: _File, settings: SchedulerSettings) -> tuple[Address | None, tuple[Address, ...]]:
    """This gateway's address for messages and every gateway's; none where messages are not permitted.

    A number that means different gateways at two of them would do harm, so a list that does not fit the
    settings is refused.
    """
    if not settings.may_send_messages or file.peers is msgspec.UNSET or file.peer_listen is msgspec.UNSET:
        return None, ()
    if not isinstance(file.peers, list):
        raise UnusableConfigurationError(f"peers: {file.peers!r} is of the wrong kind")
    peers = tuple(parse_address(peer, f"peers.{number}") for number, peer in enumerate(file.peers))
    if len(peers) != settings.gateways or len(set(peers)) != len(peers):
        raise UnusableConfigurationError(
            f"peers: {len(set(peers))} different addresses for {settings.gateways} gateways"
        )
    if type(settings.gateway_index) is not int or not 0 <= settings.gateway_index < settings.gateways:
        raise UnusableConfigurationError(
            f"settings.index: {settings.gateway_index!r} is no number of one of {settings.gateways} gateways"
        )
    return parse_address(file.peer_listen, "peer_listen"), peers

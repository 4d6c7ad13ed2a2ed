"""What a gateway is told at its start and anew at SIGHUP: the file that GW_CONFIG names."""

import json
import math
from dataclasses import dataclass, fields, replace
from typing import Any

import msgspec

from gorsethread.errors import GorsethreadError
from gorsethread.gateway.startfacts import Fields, Malformed, start_facts
from gorsethread.http_gateway.listing import ListAnswer
from gorsethread.scheduling.model import SchedulerSettings

Address = tuple[str, int]
NOBODY_KNOWN = {"generation": 0, "reset": False, "instances": []}  # no list at all, so none that is whole


class Unusable(GorsethreadError):
    """The configuration can't be used; the text names the place and the reason."""

    action = "Correct that place of the file GW_CONFIG names and start anew, or SIGHUP a head that runs on."


@dataclass(frozen=True)
class Naming:
    """The words that requests use, as places in the settings, and what bounds their figures."""

    profiles: dict[bytes, int]
    plans: dict[bytes, int]
    zones: dict[str, int]
    most_units: float
    shards: int


@dataclass(frozen=True)
class Configuration:
    """One gateway's orders. dial_within, idle: seconds, of connections to backends; longest: how many seconds
    a client waits at most. pushed: whether discovery's agent on this machine is sent the list, so that what
    it has counts as told from the first moment of a new process. peers: every gateway's address by its
    number, this one's too, where gateways may send each other messages; else none."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: ListAnswer
    facts: SchedulerSettings
    naming: Naming
    dial_within: float
    idle: float
    longest: float
    pushed: bool = False
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()


def address_of(value: Any, place: str) -> Address:
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not colon or not port.isdigit() or not 0 < int(port) < 65536:
        raise Unusable(f"{place}: {value!r} is no host:port")
    return host, int(port)


def _field(given: Any, place: str, *kinds: type) -> Any:
    here = given
    for name in place.split("."):
        if not isinstance(here, dict) or name not in here:
            raise Unusable(f"{place}: is missing")
        here = here[name]
    if kinds and (not isinstance(here, kinds) or isinstance(here, bool)):
        raise Unusable(f"{place}: {here!r} is of the wrong kind")
    return here


def _check_figures(part: Any) -> None:
    """Guards against settings of the right shape with a word for a figure, which would end a serving
    gateway."""
    for f in fields(part):
        value = getattr(part, f.name)
        if f.type in (int, float) and (type(value) not in (int, float) or not math.isfinite(value)):
            raise Unusable(f"settings: {type(part).__name__} {f.name}: {value!r} is no figure")


def read_configuration(raw: bytes | None, path: str) -> Configuration:
    """Unusable, with the file's path in front, for what is missing or wrong. Unknown fields are ignored."""
    if raw is None:
        raise Unusable(f"{path}: can't be read")
    try:
        given = json.loads(raw, object_hook=Fields)
    except ValueError as error:
        raise Unusable(f"{path}: is not JSON: {error}") from None
    try:
        return _configuration(given)
    except Unusable as error:
        raise Unusable(f"{path}: {error}") from None
    except Malformed as error:
        raise Unusable(f"{path}: settings: {error}") from None
    except (TypeError, AttributeError, KeyError, ValueError) as error:
        raise Unusable(f"{path}: settings: something is of the wrong kind: {error}") from None


def _configuration(given: Any) -> Configuration:
    settings = _field(given, "settings", dict)
    sockets = _field(given, "limits.sockets", int)
    if sockets < 32:
        raise Unusable(f"limits.sockets: {sockets} are too few to serve with")
    seed = _field(given, "seed", str, int)
    try:
        seed = int(seed, 16) if isinstance(seed, str) else seed
    except ValueError:
        raise Unusable(f"seed: {seed!r} is no number in hexadecimal digits") from None
    try:
        known = msgspec.convert(given.get("known", NOBODY_KNOWN), ListAnswer)
    except msgspec.ValidationError as error:
        raise Unusable(f"known: {error}") from None
    facts = start_facts(settings)
    if not facts.request_classes or not facts.service_tiers:
        raise Unusable("settings: no profile or no plan")
    for part in (
        facts,
        facts.slow_start,
        *facts.request_classes,
        *facts.service_tiers,
        *([facts.retry_budget] if facts.retry_budget else ()),
    ):
        _check_figures(part)
    peer_listen, peers = _peers(given, facts)
    # Also where lists are pushed, it is to the machine's agent, which a gateway hears by a watch of its own.
    pushed = not facts.polls_endpoints
    facts = replace(facts, may_send_messages=bool(peers), polls_endpoints=True)
    naming = Naming(
        {s["name"].encode(): n for n, s in enumerate(settings["services"])},
        {g["name"].encode(): n for n, g in enumerate(settings["grades"])},
        {name: n for n, name in enumerate(settings.get("azs", []))},
        facts.largest_request_units,
        settings["specifics"]["shards"],
    )
    return Configuration(
        str(_field(given, "name", str)),
        address_of(_field(given, "listen"), "listen"),
        address_of(_field(given, "discovery"), "discovery"),
        seed,
        sockets,
        known,
        facts,
        naming,
        float(_field(settings, "permissions.dialTimeout", int, float)),
        float(_field(settings, "permissions.connIdle", int, float)),
        float(max(s.get("giveUp", 0.0) for s in settings["services"])),
        pushed,
        peer_listen,
        peers,
    )


def _peers(given: Any, facts: SchedulerSettings) -> tuple[Address | None, tuple[Address, ...]]:
    """None where the settings allow no messages or no addresses are told. A number that means another gateway
    at each of two gateways would do harm, so a list that does not fit the settings is refused."""
    if not facts.may_send_messages or "peers" not in given or "peer_listen" not in given:
        return None, ()
    peers = tuple(address_of(p, f"peers.{n}") for n, p in enumerate(_field(given, "peers", list)))
    if len(peers) != facts.gateways or len(set(peers)) != len(peers):
        raise Unusable(f"peers: {len(set(peers))} different addresses for {facts.gateways} heads")
    if type(facts.gateway_index) is not int or not 0 <= facts.gateway_index < facts.gateways:
        raise Unusable(
            f"settings.index: {facts.gateway_index!r} is no number of one of {facts.gateways} heads"
        )
    return address_of(given["peer_listen"], "peer_listen"), peers

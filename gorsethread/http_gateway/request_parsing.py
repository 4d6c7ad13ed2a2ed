"""Parses a client's request by the operators' protocol; anything missing or invalid is an error."""

import re
from typing import NamedTuple

from gorsethread.http1.framing import InvalidRequestError
from gorsethread.http1.server_codec import Request
from gorsethread.http_gateway.configuration import RequestNames

# The operators' names of headers and of the fields of io-info.
ID_HEADER = b"req-id"
TIER_HEADER = b"tier"
TIMEOUT_HEADER = b"req-deadline-ms"
INFO_HEADER = b"io-info"
RETRY_HEADER = b"req-retry"
INFO_VOLUME = b"volume"
INFO_UNITS = b"units"
INFO_SHARD = b"shard"
INFO_GATEWAYS = b"hosts"
FORWARDED_HEADERS = (ID_HEADER, TIER_HEADER, INFO_HEADER, RETRY_HEADER, b"content-type")
KEPT_HEADERS = frozenset((*FORWARDED_HEADERS, TIMEOUT_HEADER))

ID = re.compile(rb"[0-9a-fA-F]{16}")
TARGET = re.compile(rb"/([^/?#]+)/(?:[^?#]*/)?([0-9a-fA-F]{16})(?:\?[^#]*)?")
TIMEOUT = re.compile(rb"[0-9]{1,7}")
INFO = re.compile(rb"[0-9A-Za-z_]+=[^=,]*(?:,[0-9A-Za-z_]+=[^=,]*)*")
INTEGER = re.compile(rb"-?[0-9]{1,9}")
MAX_GATEWAYS = 100_000
MAX_QUOTED_BYTES = 20  # bytes of an invalid value that an error quotes


class RequestFields(NamedTuple):
    """The fields of a request; timeout is in seconds from when the client sent it."""

    id: int
    request_class: int
    service_tier: int
    key: str
    timeout: float
    volume: str
    units: float
    shard: int
    gateways: int
    is_retry: bool


def parse_request(request: Request, names: RequestNames) -> RequestFields:
    """Returns the fields of a valid request.

    Raises InvalidRequestError, with the status to answer, for anything missing, duplicated, unknown or out of
    bounds.
    """
    request_class, key = _parse_target(request, names)
    request_id = _header(request, ID_HEADER)
    if not ID.fullmatch(request_id):
        raise InvalidRequestError(400, "no id")
    service_tier = names.service_tiers.get(_header(request, TIER_HEADER))
    if service_tier is None:
        raise InvalidRequestError(400, "no such service tier")
    timeout = _header(request, TIMEOUT_HEADER)
    if not TIMEOUT.fullmatch(timeout) or int(timeout) == 0:
        raise InvalidRequestError(400, "no deadline")
    info = _parse_info(_header(request, INFO_HEADER))
    volume = info.get(INFO_VOLUME, b"")
    if not ID.fullmatch(volume):
        raise InvalidRequestError(400, "no volume")
    return RequestFields(
        int(request_id, 16),
        request_class,
        service_tier,
        key,
        int(timeout) * 0.001,
        volume.decode(),
        float(_integer(info, INFO_UNITS, 1, names.max_units)),
        _integer(info, INFO_SHARD, -1, names.shards - 1),
        _integer(info, INFO_GATEWAYS, 1, MAX_GATEWAYS),
        request.header(RETRY_HEADER) == b"1",
    )


def _parse_target(request: Request, names: RequestNames) -> tuple[int, str]:
    """Returns the request class and the idempotency key from the method and the path."""
    if request.method not in (b"GET", b"PUT"):
        raise InvalidRequestError(405, "neither GET nor PUT")
    target = TARGET.fullmatch(request.target)
    if target is None:
        raise InvalidRequestError(404, "no such path")
    request_class = names.request_classes.get(target[1])
    if request_class is None:
        raise InvalidRequestError(404, "no such request class")
    if request.method == b"GET" and request.body:
        raise InvalidRequestError(400, "a GET with a body")
    return request_class, target[2].decode()


def _header(request: Request, name: bytes) -> bytes:
    value = request.header(name)
    if value is None:
        raise InvalidRequestError(400, f"no {name.decode()}")
    return value


def _parse_info(text: bytes) -> dict[bytes, bytes]:
    if not INFO.fullmatch(text):
        raise InvalidRequestError(400, "io-info can't be read")
    parts = [part.split(b"=") for part in text.split(b",")]
    info = dict[bytes, bytes](parts)
    if len(info) < len(parts):
        raise InvalidRequestError(400, "io-info has one field twice")
    return info


def _integer(info: dict[bytes, bytes], name: bytes, minimum: float, maximum: float) -> int:
    value = info.get(name, b"")
    if not INTEGER.fullmatch(value) or not minimum <= int(value) <= maximum:
        raise InvalidRequestError(400, f"{name.decode()} is {value[:MAX_QUOTED_BYTES]!r}")
    return int(value)

"""What a request must say to be a request; whatever it does not say rightly is answered with an error."""

import re
from typing import NamedTuple

from gorsethread.http1.framing import InvalidRequestError
from gorsethread.http1.server_codec import Request
from gorsethread.http_gateway.config import Naming

ID = re.compile(rb"[0-9a-fA-F]{16}")
TARGET = re.compile(rb"/([^/?#]+)/(?:[^?#]*/)?([0-9a-fA-F]{16})(?:\?[^#]*)?")
PATIENCE = re.compile(rb"[0-9]{1,7}")
INFO = re.compile(rb"[0-9A-Za-z_]+=[^=,]*(?:,[0-9A-Za-z_]+=[^=,]*)*")
WHOLE = re.compile(rb"-?[0-9]{1,9}")
MOST_HEADS = 100_000
ONWARD = (b"req-id", b"tier", b"io-info", b"req-retry", b"content-type")


class RequestFields(NamedTuple):
    """patience: seconds from when the client sent it."""

    id: bytes
    profile: int
    plan: int
    key: str
    patience: float
    volume: str
    units: float
    shard: int
    heads: int
    repeat: bool


def _said(request: Request, name: bytes) -> bytes:
    value = request.header(name)
    if value is None:
        raise InvalidRequestError(400, f"no {name.decode()}")
    return value


def _whole(info: dict[bytes, bytes], name: bytes, least: float, most: float) -> int:
    value = info.get(name, b"")
    if not WHOLE.fullmatch(value) or not least <= int(value) <= most:
        raise InvalidRequestError(400, f"{name.decode()} is {value[:20]!r}")
    return int(value)


def read_request(request: Request, naming: Naming) -> RequestFields:
    """InvalidRequestError for anything missing, doubled, unknown or out of its bounds."""
    if request.method not in (b"GET", b"PUT"):
        raise InvalidRequestError(405, "neither GET nor PUT")
    target = TARGET.fullmatch(request.target)
    if target is None:
        raise InvalidRequestError(404, "no such path")
    profile = naming.profiles.get(target[1])
    if profile is None:
        raise InvalidRequestError(404, "no such profile")
    if request.method == b"GET" and request.body:
        raise InvalidRequestError(400, "a GET with a body")
    id = _said(request, b"req-id")
    if not ID.fullmatch(id):
        raise InvalidRequestError(400, "no id")
    plan = naming.plans.get(_said(request, b"tier"))
    if plan is None:
        raise InvalidRequestError(400, "no such plan")
    patience = _said(request, b"req-deadline-ms")
    if not PATIENCE.fullmatch(patience) or int(patience) == 0:
        raise InvalidRequestError(400, "no cut-off")
    told = _said(request, b"io-info")
    if not INFO.fullmatch(told):
        raise InvalidRequestError(400, "io-info can't be read")
    parts = [part.split(b"=") for part in told.split(b",")]
    info = dict[bytes, bytes](parts)
    if len(info) < len(parts):
        raise InvalidRequestError(400, "io-info says one thing twice")
    volume = info.get(b"volume", b"")
    if not ID.fullmatch(volume):
        raise InvalidRequestError(400, "no volume")
    return RequestFields(
        id,
        profile,
        plan,
        target[2].decode(),
        int(patience) * 0.001,
        volume.decode(),
        float(_whole(info, b"units", 1, naming.most_units)),
        _whole(info, b"shard", -1, naming.shards - 1),
        _whole(info, b"hosts", 1, MOST_HEADS),
        request.header(b"req-retry") == b"1",
    )

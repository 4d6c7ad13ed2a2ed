"""The forms of spoilt answers, and of answers with surplus bytes, that the fake HTTP backend sends."""

from collections.abc import Callable
from dataclasses import dataclass

MISSING_BYTES = 3  # by which the length of an answer with a length that is too small falls short


@dataclass(frozen=True)
class SpoiltAnswer:
    """One form of answer.

    Attributes:
        encode: Returns the answer's bytes, given the body that the backend has made for the request.
        is_complete: Whether a complete answer stands at its beginning, so that the connection carries further
            requests; after others it stays open but is of no more use.
        closes: Whether the backend closes the connection behind it.
    """

    encode: Callable[[bytes], bytes]
    is_complete: bool = False
    closes: bool = False


def _ok_response(body: bytes, headers: bytes = b"") -> bytes:
    return b"HTTP/1.1 200 OK\r\n" + headers + b"Content-Length: %d\r\n\r\n" % len(body) + body


def _cut_by_its_length(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (len(body) - MISSING_BYTES) + body


def _cut_by_its_last_chunk(body: bytes) -> bytes:
    chunk = body[:-MISSING_BYTES]
    start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return start + b"%x\r\n" % len(chunk) + chunk + b"\r\n0\r\n\r\n" + body[-MISSING_BYTES:]


SPOILT_ANSWERS = (
    SpoiltAnswer(lambda body: b"\x00\xff\x17 what is this \r\n\r\n" * 3),
    SpoiltAnswer(lambda body: b"HTTP/1.1 200 OK\r\nX-Pad: " + b"a" * 40_000),
    SpoiltAnswer(lambda body: b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 77\r\n\r\nhello"),
    SpoiltAnswer(lambda body: b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"b" * 60_000),
    SpoiltAnswer(lambda body: b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n"),
    SpoiltAnswer(_cut_by_its_length),
    SpoiltAnswer(_cut_by_its_last_chunk),
    SpoiltAnswer(lambda body: b"HTTP/1.1 200 OK\r\n\r\n" + body),
    # Valid, because the connection is closed behind it.
    SpoiltAnswer(lambda body: b"HTTP/1.0 200 OK\r\n\r\n" + body, closes=True),
    SpoiltAnswer(lambda body: _ok_response(body) * 2, is_complete=True),
    SpoiltAnswer(lambda body: _ok_response(body) + _ok_response(b"another's answer"), is_complete=True),
    SpoiltAnswer(
        lambda body: b"HTTP/1.1 102 Processing\r\n\r\n" + _ok_response(body) + b"zzz", is_complete=True
    ),
    SpoiltAnswer(
        lambda body: _ok_response(body, b"Other-Hosts: x\r\nVolume-Load: -7e9999\r\n") + b"\r\n",
        is_complete=True,
    ),
)

"""The server's side of one connection: requests out of bytes, answers into bytes.

Stricter than h11 where the platform's pages ask: one way to tell a body's length, bounds on heads and bodies,
on what came ahead of its turn, and no read-ahead past an unanswered request.
"""

import re
from http import HTTPStatus
from typing import NamedTuple

import h11

from gorsethread.http1.bounds import MOST_BODY, MOST_HEAD, MOST_HELD, Headers, Unreadable, length_of

LENGTHS = re.compile(rb"\ncontent-length[ \t]*:[ \t]*([^\r\n]*?)[ \t]*\r?(?=\n)", re.IGNORECASE)


class Request(NamedTuple):
    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    def one(self, name: bytes) -> bytes | None:
        """The value of a header that may stand once; Unreadable where it stands more often."""
        found = [value for known, value in self.headers if known == name]
        if len(found) > 1:
            raise Unreadable(400, f"{name.decode()} stands {len(found)} times")
        return found[0] if found else None


def last_words(status: int) -> bytes:
    """An answer without a body that ends its connection, also where no request could be read."""
    return (
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\n" "Content-Length: 0\r\nConnection: close\r\n\r\n"
    ).encode()


class Serving:
    """open: a request was given out and is not answered yet. begun: part of one has come."""

    def __init__(self) -> None:
        self._wire = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self._head: h11.Request | None = None
        self._raw = b""  # what has come of the head: h11 makes one length of several that are the same
        self._body: list[bytes] = []
        self._size = 0
        self.ahead = 0  # bytes come since the open request was whole
        self._came = False
        self.open = False

    @property
    def begun(self) -> bool:
        return self._came and not self.open

    def feed(self, data: bytes) -> None:
        """Unreadable where more came ahead of its turn than is held."""
        if self.open:
            self.ahead += len(data)
            if self.ahead > MOST_HELD:
                raise Unreadable(400, "too much sent ahead")
        elif self._head is None:
            self._raw += data
        self._came = True
        self._wire.receive_data(data)

    def next(self) -> Request | None:
        """The next whole request; None while an earlier one is open or more has to come."""
        if self.open:
            return None
        try:
            return self._next()
        except h11.RemoteProtocolError as error:
            raise Unreadable(error.error_status_hint, str(error)) from None

    def _next(self) -> Request | None:
        while True:
            event = self._wire.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.Request):
                self._begin(event)
            elif isinstance(event, h11.Data):
                self._size += len(event.data)
                if self._size > MOST_BODY:
                    raise Unreadable(413, "body over the bound")
                self._body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                head, body = self._head, b"".join(self._body)
                assert head is not None
                self._head, self._body, self._size = None, [], 0
                self._raw = self._wire.trailing_data[0]
                self.ahead = len(self._raw)
                self.open = True
                return Request(head.method, head.target, list(head.headers), body)
            else:
                raise Unreadable(400, "the connection ended")

    def _begin(self, head: h11.Request) -> None:
        if head.http_version != b"1.1":
            raise Unreadable(505, "another version")
        headers: Headers = list(head.headers)
        told, self._raw = LENGTHS.findall(self._raw.partition(b"\r\n\r\n")[0] + b"\n"), b""
        if len(told) > 1 or told and not told[0].isdigit():
            raise Unreadable(400, "two ways to tell the length")
        try:
            length = length_of(headers)
        except ValueError as error:
            raise Unreadable(400, str(error)) from None
        if length is not None and length > MOST_BODY:
            raise Unreadable(413, "body over the bound")
        if head.method == b"CONNECT" or any(name == b"upgrade" for name, _ in headers):
            raise Unreadable(501, "no other protocol is spoken here")
        self._head = head

    @property
    def awaits_continue(self) -> bool:
        """The client asked whether it may send its body; continued() is to be written."""
        return self._head is not None and self._wire.they_are_waiting_for_100_continue

    def continued(self) -> bytes:
        return self._wire.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def answer(self, status: int, headers: Headers, body: bytes, last: bool = False) -> tuple[bytes, bool]:
        """The bytes of the answer to the open request, and whether the connection goes on after it."""
        framing: Headers = [(b"content-length", b"%d" % len(body))]
        if last:
            framing.append((b"connection", b"close"))
        head = h11.Response(
            status_code=status, headers=headers + framing, reason=HTTPStatus(status).phrase.encode()
        )
        wire = self._wire
        said = [
            wire.send(head),
            wire.send(h11.Data(data=body)) if body else b"",
            wire.send(h11.EndOfMessage()),
        ]
        self.open = False
        goes_on = not last and wire.our_state is h11.DONE and wire.their_state is h11.DONE
        if goes_on:
            wire.start_next_cycle()
            self._raw = wire.trailing_data[0]
            self._came = bool(self._raw)
        return b"".join(part for part in said if part), goes_on

"""The client's side of one connection: requests into bytes, the answer to each out of bytes.

Stricter than h11 where the platform's pages ask: a body's length is told in one way, within the bound. A body
without any length ends with the connection, and is whole only where that end came in order.
"""

from typing import NamedTuple

import h11

from gorsethread.http1.bounds import MOST_ANSWER, MOST_HEAD, Headers, Spoilt, length_of

MOST_BEFORE = 8  # interim answers (1xx) in front of one answer


class Answer(NamedTuple):
    """last: the connection can't be used again, as the server closes it or sent more than the answer."""

    status: int
    headers: Headers
    body: bytes
    last: bool

    def one(self, name: bytes) -> bytes | None:
        """The first value of a header."""
        return next((value for known, value in self.headers if known == name), None)


class Asking:
    """One request after another; waiting: an answer is owed."""

    def __init__(self) -> None:
        self._wire = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)
        self._head: h11.Response | None = None
        self._body: list[bytes] = []
        self._size = self._before = 0
        self.waiting = False
        self.ends_with_connection = False  # the answer that is coming has no length

    def request(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> bytes:
        """Its bytes. To be called only while nothing is waited for."""
        if body:
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        wire = self._wire
        said = [
            wire.send(h11.Request(method=method, target=target, headers=headers)),
            wire.send(h11.Data(data=body)) if body else b"",
            wire.send(h11.EndOfMessage()),
        ]
        self.waiting = True
        return b"".join(part for part in said if part)

    def feed(self, data: bytes) -> Answer | None:
        """The answer, once whole. Spoilt for anything that is none, also for bytes nobody asked for."""
        if not self.waiting:
            raise Spoilt("bytes that nobody asked for")
        try:
            self._wire.receive_data(data)
            return self._next()
        except h11.RemoteProtocolError as error:
            raise Spoilt(str(error)) from None

    def ended(self) -> Answer | None:
        """The server has ended the connection in order: the answer that is whole by that, else None."""
        if not self.ends_with_connection:
            return None
        try:
            self._wire.receive_data(b"")
            return self._next()
        except h11.RemoteProtocolError as error:
            raise Spoilt(str(error)) from None

    def _next(self) -> Answer | None:
        while True:
            event = self._wire.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.InformationalResponse):
                self._before += 1
                if self._before > MOST_BEFORE or event.status_code == 101:
                    raise Spoilt("interim answers without end")
            elif isinstance(event, h11.Response):
                self._begin(event)
            elif isinstance(event, h11.Data):
                self._size += len(event.data)
                if self._size > MOST_ANSWER:
                    raise Spoilt("body over the bound")
                self._body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return self._whole()
            else:
                raise Spoilt("the connection ended")

    def _begin(self, head: h11.Response) -> None:
        headers: Headers = list(head.headers)
        try:
            length = length_of(headers)
        except ValueError as error:
            raise Spoilt(str(error)) from None
        chunked = any(name == b"transfer-encoding" for name, _ in headers)
        if length is not None and length > MOST_ANSWER:
            raise Spoilt("body over the bound")
        self.ends_with_connection = length is None and not chunked and head.status_code not in (204, 304)
        self._head = head

    def _whole(self) -> Answer:
        head, body, wire = self._head, b"".join(self._body), self._wire
        assert head is not None
        self._head, self._body, self._size, self._before = None, [], 0, 0
        more, _ = wire.trailing_data
        last = self.ends_with_connection or bool(more)
        last = last or wire.our_state is not h11.DONE or wire.their_state is not h11.DONE
        self.waiting = self.ends_with_connection = False
        if not last:
            wire.start_next_cycle()
        return Answer(head.status_code, list(head.headers), body, last)

"""The server's side of an HTTP/1.1 connection: decodes requests and encodes their responses.

Stricter than h11 where the platform's pages require it: a body's length has to be given in exactly one way;
header sections, bodies and the bytes received while a request is open are bounded; and nothing behind an open
request is parsed before its response.
"""

from http import HTTPStatus
from typing import NamedTuple

import h11

from gorsethread.http1.framing import (
    HEADER_LINES_MAX,
    HEADER_SECTION_BYTES_MAX,
    READ_AHEAD_BYTES_MAX,
    REQUEST_BODY_BYTES_MAX,
    REQUEST_CHUNKS_MAX,
    Headers,
    InvalidRequestError,
    content_length,
    release_frames,
)
from gorsethread.http1.header_section import HeaderSection


class Request(NamedTuple):
    """A complete request; its header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of a header that may occur once, or None without one.

        Raises:
            InvalidRequestError: The header occurs more than once.
        """
        found = [value for known, value in self.headers if known == name]
        if len(found) > 1:
            raise InvalidRequestError(400, f"{name.decode()} stands {len(found)} times")
        return found[0] if found else None


def closing_response(status: int) -> bytes:
    """Returns a response without a body that closes the connection; needs no decoded request."""
    return (
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    ).encode()


class ServerCodec:
    """The state of one connection from a client.

    Attributes:
        open: Whether next_request() returned a request that has no response yet.
        bytes_ahead: The number of bytes received behind the open request.
        held_bytes: The number of bytes received for the open or the next request and behind it.

    Args:
        kept_headers: The names, in lower case, of the headers that requests are returned with; None for all.
    """

    def __init__(self, kept_headers: frozenset[bytes] | None = None) -> None:
        self._kept_headers = kept_headers
        self.held_bytes = 0
        self._wire = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_SECTION_BYTES_MAX)
        self._request: Request | None = None
        self._header_section = HeaderSection()
        self._body = bytearray()
        self._chunk_count = 0
        self._received = False
        self.bytes_ahead = 0
        self.open = False

    @property
    def partial(self) -> bool:
        """Whether a part of the next request has been received."""
        return self._received and not self.open

    def feed(self, data: bytes) -> None:
        """Decodes bytes from the client.

        Raises:
            InvalidRequestError: The client sent more behind an open request than the bound allows.
        """
        if self.open:
            self.bytes_ahead += len(data)
            if self.bytes_ahead > READ_AHEAD_BYTES_MAX:
                raise InvalidRequestError(400, "too much sent ahead")
        elif self._request is None:
            self._header_section.receive(data)
        self._received = True
        self.held_bytes += len(data)
        self._wire.receive_data(data)

    def next_request(self) -> Request | None:
        """Returns the next complete request, or None while one is open or more bytes are needed.

        Raises:
            InvalidRequestError: The bytes received are not a valid request.
        """
        if self.open:
            return None
        if self._header_section.over_bound:
            raise InvalidRequestError(431, "header section over the bound")
        try:
            return self._next()
        except h11.RemoteProtocolError as error:
            release_frames(error)
            raise InvalidRequestError(error.error_status_hint, str(error)) from None

    def _next(self) -> Request | None:
        while True:
            event = self._wire.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.Request):
                self._begin(event)
            elif isinstance(event, h11.Data):
                self._chunk_count += event.chunk_start
                if len(self._body) + len(event.data) > REQUEST_BODY_BYTES_MAX:
                    raise InvalidRequestError(413, "body over the bound")
                if self._chunk_count > REQUEST_CHUNKS_MAX:
                    raise InvalidRequestError(413, "body of too many chunks")
                self._body += event.data
            elif isinstance(event, h11.EndOfMessage):
                if len(event.headers) > HEADER_LINES_MAX:
                    raise InvalidRequestError(431, "trailer section over the bound")
                return self._complete()
            else:
                raise InvalidRequestError(400, "the connection ended")

    def _begin(self, request: h11.Request) -> None:
        if request.http_version != b"1.1":
            raise InvalidRequestError(505, "another version")
        headers: Headers = list(request.headers)
        lengths = self._header_section.content_lengths()
        if len(lengths) > 1 or lengths and not lengths[0].isdigit():
            raise InvalidRequestError(400, "two ways to tell the length")
        try:
            length = content_length(headers)
        except ValueError as error:
            raise InvalidRequestError(400, str(error)) from None
        if length is not None and length > REQUEST_BODY_BYTES_MAX:
            raise InvalidRequestError(413, "body over the bound")
        if request.method == b"CONNECT" or any(name == b"upgrade" for name, _ in headers):
            raise InvalidRequestError(501, "no other protocol is spoken here")
        self._header_section.clear()
        kept = self._kept_headers
        if kept is not None:
            headers = [(name, value) for name, value in headers if name in kept]
        self._request = Request(request.method, request.target, headers, b"")

    def _complete(self) -> Request:
        request = self._request
        body = bytes(self._body)
        assert request is not None
        self._request = None
        self._body.clear()
        self._chunk_count = 0
        self.bytes_ahead = len(self._wire.trailing_data[0])
        self.held_bytes = len(body) + self.bytes_ahead
        self.open = True
        return request._replace(body=body)

    @property
    def awaits_continue(self) -> bool:
        """Whether the client waits for a 100 (Continue), to be written by continue_response()."""
        return self._request is not None and self._wire.they_are_waiting_for_100_continue

    def continue_response(self) -> bytes:
        """Returns the bytes of a 100 (Continue) response."""
        return self._wire.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def respond(self, status: int, headers: Headers, body: bytes, last: bool = False) -> tuple[bytes, bool]:
        """Encodes the response to the open request.

        Args:
            status: The status code.
            headers: The headers, without the body's length.
            body: The complete body.
            last: Whether to close the connection with this response.

        Returns:
            The response's bytes, and whether the connection can carry another request after it.
        """
        framing: Headers = [(b"content-length", b"%d" % len(body))]
        if last:
            framing.append((b"connection", b"close"))
        response = h11.Response(
            status_code=status, headers=headers + framing, reason=HTTPStatus(status).phrase.encode()
        )
        wire = self._wire
        parts = [
            wire.send(response),
            wire.send(h11.Data(data=body)) if body else b"",
            wire.send(h11.EndOfMessage()),
        ]
        self.open = False
        self.held_bytes = self.bytes_ahead
        keeps_alive = not last and wire.our_state is h11.DONE and wire.their_state is h11.DONE
        if keeps_alive:
            wire.start_next_cycle()
            received, _ = wire.trailing_data
            self._header_section = HeaderSection()
            self._header_section.receive(received)
            self._received = bool(received)
        return b"".join(part for part in parts if part), keeps_alive

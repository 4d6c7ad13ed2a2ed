"""The client's side of an HTTP/1.1 connection: encodes requests and decodes their responses.

Stricter than h11 where the platform's pages require it: a body's length has to be given in exactly one way
and be within the bound. A body without a length ends with the connection, and is complete only if the server
ended the connection in order. Bytes behind a response may be the rest of a body whose length was too small,
so they make it invalid, unless they repeat the response.
"""

from typing import NamedTuple

import h11

from gorsethread.http1.framing import (
    HEADER_LINES_MAX,
    HEADER_SECTION_BYTES_MAX,
    RESPONSE_BODY_BYTES_MAX,
    RESPONSE_CHUNKS_MAX,
    Headers,
    InvalidResponseError,
    content_length,
    release_frames,
)
from gorsethread.http1.surplus_bytes import is_repeated_response

INTERIM_RESPONSES_MAX = 8  # 1xx responses before one final response
SWITCHING_PROTOCOLS = 101
STATUSES_WITHOUT_BODY = (204, 304)


class Response(NamedTuple):
    """A complete response.

    Attributes:
        status: The status code.
        headers: The headers, with their names in lower case.
        body: The complete body.
        closes_connection: Whether the connection can't be used again, because the server closes it or sent
            the response twice.
    """

    status: int
    headers: Headers
    body: bytes
    closes_connection: bool

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None without one."""
        return next((value for known, value in self.headers if known == name), None)

    def check_surplus(self, surplus: bytes) -> None:
        """Checks bytes that the server sent behind this response.

        Raises:
            InvalidResponseError: The bytes don't repeat the response, so its body may be cut.
        """
        if not is_repeated_response(surplus, self.status, self.headers, self.body):
            raise InvalidResponseError("more bytes than the response's length")


class ClientCodec:
    """The state of one connection to a server, which carries one request at a time.

    Attributes:
        awaiting_response: Whether a response is outstanding.
        ends_with_connection: Whether the response being received has no length, so that it ends with the
            connection.
        held_bytes: The number of bytes received of a response that is not complete.
    """

    def __init__(self) -> None:
        self._wire = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_SECTION_BYTES_MAX)
        self._response: h11.Response | None = None
        self._body = bytearray()
        self.held_bytes = 0
        self._chunk_count = 0
        self._interim_responses = 0
        self.awaiting_response = False
        self.ends_with_connection = False

    def request(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> bytes:
        """Returns the bytes of a request; may be called only while no response is outstanding."""
        if body:
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        wire = self._wire
        parts = [
            wire.send(h11.Request(method=method, target=target, headers=headers)),
            wire.send(h11.Data(data=body)) if body else b"",
            wire.send(h11.EndOfMessage()),
        ]
        self.awaiting_response = True
        return b"".join(part for part in parts if part)

    def feed(self, data: bytes) -> Response | None:
        """Decodes bytes from the server; returns the response once it is complete.

        Raises:
            InvalidResponseError: The bytes are not a valid response, none is outstanding, or more bytes than
                the response came with it.
        """
        if not self.awaiting_response:
            raise InvalidResponseError("bytes that nobody asked for")
        self.held_bytes += len(data)
        try:
            self._wire.receive_data(data)
            return self._next()
        except h11.RemoteProtocolError as error:
            release_frames(error)
            raise InvalidResponseError(str(error)) from None

    def connection_ended(self) -> Response | None:
        """Handles the end of the connection, made by the server in order.

        Returns the response if that end completed it, else None.

        Raises:
            InvalidResponseError: The bytes received are not a valid response.
        """
        if not self.ends_with_connection:
            return None
        try:
            self._wire.receive_data(b"")
            return self._next()
        except h11.RemoteProtocolError as error:
            release_frames(error)
            raise InvalidResponseError(str(error)) from None

    def _next(self) -> Response | None:
        while True:
            event = self._wire.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.InformationalResponse):
                self._interim_responses += 1
                if (
                    self._interim_responses > INTERIM_RESPONSES_MAX
                    or event.status_code == SWITCHING_PROTOCOLS
                ):
                    raise InvalidResponseError("interim answers without end")
            elif isinstance(event, h11.Response):
                self._begin(event)
            elif isinstance(event, h11.Data):
                self._chunk_count += event.chunk_start
                if len(self._body) + len(event.data) > RESPONSE_BODY_BYTES_MAX:
                    raise InvalidResponseError("body over the bound")
                if self._chunk_count > RESPONSE_CHUNKS_MAX:
                    raise InvalidResponseError("body of too many chunks")
                self._body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return self._complete()
            else:
                raise InvalidResponseError("the connection ended")

    def _begin(self, response: h11.Response) -> None:
        headers: Headers = list(response.headers)
        if len(headers) > HEADER_LINES_MAX:
            raise InvalidResponseError("header section of too many lines")
        try:
            length = content_length(headers)
        except ValueError as error:
            raise InvalidResponseError(str(error)) from None
        chunked = any(name == b"transfer-encoding" for name, _ in headers)
        if length is not None and length > RESPONSE_BODY_BYTES_MAX:
            raise InvalidResponseError("body over the bound")
        has_body = response.status_code not in STATUSES_WITHOUT_BODY
        self.ends_with_connection = length is None and not chunked and has_body
        self._response = response

    def _complete(self) -> Response:
        response = self._response
        body = bytes(self._body)
        wire = self._wire
        assert response is not None
        self._response = None
        self._body.clear()
        self.held_bytes = 0
        self._chunk_count = 0
        self._interim_responses = 0
        surplus, _ = wire.trailing_data
        closes = self.ends_with_connection or bool(surplus)
        closes = closes or wire.our_state is not h11.DONE or wire.their_state is not h11.DONE
        self.awaiting_response = False
        self.ends_with_connection = False
        if not closes:
            wire.start_next_cycle()
        complete = Response(response.status_code, list(response.headers), body, closes)
        if surplus:
            complete.check_surplus(surplus)
        return complete

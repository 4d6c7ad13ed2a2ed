"""Tells a repeated response from other bytes behind a response that is complete by its own length.

If a server's Content-Length is too small, the rest of the body follows the part that the length covers, so
surplus bytes can mean that the body is cut. A repetition of the whole response, headers included, is not the
rest of its own body, unless the body holds its own response's header section just where the length ends.
"""

import h11

from gorsethread.http1.framing import HEADER_SECTION_BYTES_MAX, Headers, release_frames


def is_repeated_response(surplus: bytes, status: int, headers: Headers, body: bytes) -> bool:
    """Returns whether bytes begin a second copy of a response.

    The copy's header section has to be complete, with the same status and headers. Its body may be
    incomplete, but has to be equal as far as it goes, and nothing else may follow it.

    Args:
        surplus: The bytes received behind the response.
        status: The response's status code.
        headers: The response's headers, with their names in lower case.
        body: The response's body.
    """
    wire = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_SECTION_BYTES_MAX)
    wire.send(h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"-")]))
    wire.send(h11.EndOfMessage())
    wire.receive_data(surplus)
    try:
        response = wire.next_event()
        if not isinstance(response, h11.Response):
            return False
        if (response.status_code, list(response.headers)) != (status, headers):
            return False
        return body.startswith(_received_body(wire)) and not wire.trailing_data[0]
    except h11.RemoteProtocolError as error:
        release_frames(error)
        return False


def _received_body(wire: h11.Connection) -> bytes:
    """Returns the part of a response's body that has been received.

    Raises:
        h11.RemoteProtocolError: The body is malformed.
    """
    parts: list[bytes] = []
    while isinstance(event := wire.next_event(), h11.Data):
        parts.append(bytes(event.data))
    return b"".join(parts)

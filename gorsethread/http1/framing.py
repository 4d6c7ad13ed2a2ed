"""Limits of both sides of the codec, the length of a body, and the error of each side."""

from gorsethread.errors import GorsethreadError

HEADER_SECTION_BYTES_MAX = 16_384
REQUEST_BODY_BYTES_MAX = 65_536  # the platform's requests have none larger
# The platform's page names one bound for both bodies, but good responses of 150 to 390 KB were seen on its
# sockets; to be kept out are those that announce gigabytes, or have no end.
RESPONSE_BODY_BYTES_MAX = 2 * 1024 * 1024
READ_AHEAD_BYTES_MAX = HEADER_SECTION_BYTES_MAX + REQUEST_BODY_BYTES_MAX  # sent behind an open request
LENGTH_DIGITS_MAX = 12

Headers = list[tuple[bytes, bytes]]  # names in lower case, in the order they came


class InvalidRequestError(GorsethreadError):
    """What a client sent is no request of the platform.

    Attributes:
        status: The status to respond with; the connection ends with it.
    """

    action = "If it is one of your clients, mend its request as the reason says; the gateway needs nothing."

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class InvalidResponseError(GorsethreadError):
    """What came from a server is not the response to the request; the connection is of no more use."""

    action = "Look at that backend's or discovery's own log: its answers are not HTTP as the platform has it."


def content_length(headers: Headers) -> int | None:
    """The length of a body by its one Content-Length; None without one.

    Raises:
        ValueError: It may be read in two ways: several lengths, or one beside a Transfer-Encoding, behind
            which another message can hide (RFC 9112, 6.3).
    """
    lengths = [value for name, value in headers if name == b"content-length"]
    encodings = [value for name, value in headers if name == b"transfer-encoding"]
    if len(lengths) + len(encodings) > 1:
        raise ValueError("two ways to tell the length")
    if not lengths:
        return None
    if not lengths[0].isdigit() or len(lengths[0]) > LENGTH_DIGITS_MAX:
        raise ValueError("no length")
    return int(lengths[0])

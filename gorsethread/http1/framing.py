"""The limits and the body length that both sides of the codec share, and the error of each side."""

from gorsethread.errors import GorsethreadError

HEADER_SECTION_BYTES_MAX = 16_384
# Each header line costs the memory of some hundred bytes, however short it is.
HEADER_LINES_MAX = 100  # with the start line and the blank line
REQUEST_BODY_BYTES_MAX = 65_536  # the platform's requests have no larger body
# The platform's page gives one bound for the bodies of requests and responses, but valid responses of 150 to
# 390 KB were seen on its sockets. This bound keeps out those that announce gigabytes or never end.
RESPONSE_BODY_BYTES_MAX = 2 * 1024 * 1024
# Each chunk of a body costs the work of some hundred bytes, whatever its size.
REQUEST_CHUNKS_MAX = 4_096
RESPONSE_CHUNKS_MAX = 16_384
READ_AHEAD_BYTES_MAX = 327_680  # received while a request is open
LENGTH_DIGITS_MAX = 12

Headers = list[tuple[bytes, bytes]]  # names in lower case, in the order received


class InvalidRequestError(GorsethreadError):
    """A client sent something that is not a valid request of the platform.

    Attributes:
        status: The status to respond with; after an error of the codec the connection ends with it.
    """

    action = (
        "If it is one of your clients, correct its request as the reason says; the gateway needs nothing."
    )

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class InvalidResponseError(GorsethreadError):
    """A server sent something that is not a valid response; the connection can't be used any more."""

    action = (
        "Check that backend's or discovery's own log: its answers are not HTTP as the platform defines it."
    )


def content_length(headers: Headers) -> int | None:
    """Returns the length of a body by its Content-Length, or None without one.

    Raises:
        ValueError: The length is not a number of at most LENGTH_DIGITS_MAX digits, or it is ambiguous, which
            can hide another message: several lengths, or one beside a Transfer-Encoding (RFC 9112, 6.3).
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


def release_frames(error: Exception) -> None:
    """Drops the frames of an error of h11 that has been handled.

    h11 raises some errors again from a method of their own, whose frame then refers to the error. With the
    codec and its buffers, they would stay in memory until the collector of reference cycles runs.
    """
    error.__traceback__ = None

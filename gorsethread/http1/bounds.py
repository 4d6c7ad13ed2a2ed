"""What both sides of the codec hold at most, and the one error of each."""

from gorsethread.errors import GorsethreadError

MOST_HEAD = 16_384  # bytes of a head
MOST_BODY = 65_536  # bytes of a request's body; the platform's requests have none larger
# Bytes of an answer's. The platform's page names one bound for both, but good answers of 150 to 390 KB were
# seen on its sockets; to be kept out are those said to have gigabytes, or without an end.
MOST_ANSWER = 2 * 1024 * 1024
MOST_HELD = MOST_HEAD + MOST_BODY  # bytes that came ahead of their turn

Headers = list[tuple[bytes, bytes]]  # names in lower case, in the order they came


class Unreadable(GorsethreadError):
    """What a client sent is no request of ours. status: what to answer; the connection ends with it."""

    action = "If it is one of your clients, mend its request as the reason says; the head needs nothing."

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Spoilt(GorsethreadError):
    """What came on a connection to a server is not the answer to what was asked; it is of no more use."""

    action = "Look at that shelf's or discovery's own log: its answers are not HTTP as the platform has it."


def length_of(headers: Headers) -> int | None:
    """Of the body as the one Content-Length says; None without. ValueError for what may be read in two ways:
    several lengths, or one beside a Transfer-Encoding, behind which another message can hide."""
    lengths = [value for name, value in headers if name == b"content-length"]
    encodings = [value for name, value in headers if name == b"transfer-encoding"]
    if len(lengths) + len(encodings) > 1:
        raise ValueError("two ways to tell the length")
    if not lengths:
        return None
    if not lengths[0].isdigit() or len(lengths[0]) > 12:
        raise ValueError("no length")
    return int(lengths[0])

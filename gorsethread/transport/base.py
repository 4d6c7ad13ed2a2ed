"""What the rest of the program may ask of the world. A virtual clock and network can stand behind it."""

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

from gorsethread.errors import GorsethreadError

MAX_READ_BYTES = 65_536  # bytes that one read of a stream brings at the most
MAX_DATAGRAM_BYTES = 256  # bytes; the operators' platform carries no longer ones between heads


class StreamClosed(GorsethreadError):
    """The stream has ended; the text says how."""

    action = "Nothing at once: connections end; if one party's end again and again, look at that party."


class StreamEnded(StreamClosed):
    """The peer has ended its sending in order: all that it sent before has been read."""

    action = "Nothing: the other side is done with this connection; a new one is made when it is needed."


class Unreachable(GorsethreadError):
    """No connection was established in time; nothing was sent."""

    action = "See that the other side listens at that address and that the network between lets it through."


class RandomStream(Protocol):
    """One stream of draws; the same name and seed give the same draws."""

    def random(self) -> float: ...
    def uniform(self, a: float, b: float) -> float: ...
    def randrange(self, stop: int) -> int: ...
    def expovariate(self, rate: float) -> float: ...


class Timer(Protocol):
    def cancel(self) -> None: ...


class Stream(Protocol):
    """Ordered bytes both ways. unsent: bytes written that the network has not taken yet."""

    peer: str

    @property
    def unsent(self) -> int: ...

    async def read(self) -> bytes:
        """Some bytes, at least one and at most MAX_READ_BYTES; StreamEnded at the end that the peer made in
        order, StreamClosed at any other, such as a reset."""
        ...

    def is_idle(self) -> bool:
        """Nothing unread has come and the peer has not ended it, as far as this machine knows now."""
        ...

    def peer_ended(self) -> bool:
        """The peer has ended its sending, also where bytes it sent before are still unread here."""
        ...

    def write(self, data: bytes) -> None:
        """Queues bytes; after the end they are dropped, and the next read raises."""
        ...

    def end_sending(self) -> None:
        """Sends what was written, then the end of this side (a half-close); the peer can still be read.

        Guards against a close over unread bytes: the system answers these with a reset, which takes from the
        peer what it has not read yet.
        """
        ...

    async def drained(self) -> None:
        """Returns once nothing written is unsent; StreamClosed if that can't come."""
        ...

    def close(self) -> None: ...


class Listener(Protocol):
    port: int

    def close(self) -> None: ...


class Datagrams(Protocol):
    """A port for single messages, which may be lost, late, doubled or out of order."""

    port: int

    def send(self, to: tuple[str, int], data: bytes) -> None:
        """ValueError over MAX_DATAGRAM_BYTES; nothing is said of one that does not arrive."""
        ...

    def close(self) -> None: ...


class Blocks(Protocol):
    """A file of bytes that outlives the process, also one that is killed."""

    def read(self, offset: int, length: int) -> bytes:
        """Zeros where nothing was written."""
        ...

    def write(self, offset: int, data: bytes) -> None: ...


class Journal(Protocol):
    """A file that only grows. After an OSError nobody knows how much of it is there: it takes no more."""

    async def add(self, data: bytes) -> None:
        """Returns once all of it lasts, also through a loss of power. One at a time; OSError where the disk
        does not take it."""
        ...

    def close(self) -> None: ...


class Transport(Protocol):
    def now(self) -> float:
        """Seconds on a clock that never goes back; one for all processes of a machine."""
        ...

    def wall_time(self) -> float:
        """Seconds since the epoch, by this machine's clock, which others' may differ from and which may be
        set; only to name times to people and to other machines."""
        ...

    def call_at(self, when: float, act: Callable[[], None]) -> Timer:
        """An exception in act is a defect, as in spawn(); so with call_soon()."""
        ...

    def call_soon(self, act: Callable[[], None]) -> None:
        """Calls act after what is going on now, before anything new is read."""
        ...

    async def sleep(self, seconds: float) -> None: ...

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs on its own; an exception in it is a defect: it is reported and ends the program."""
        ...

    async def connect(self, host: str, port: int, within: float) -> Stream:
        """Unreachable where none is established within that many seconds."""
        ...

    def listen(
        self,
        host: str,
        port: int,
        on_stream: Callable[[Stream], Awaitable[None]],
        admits: Callable[[], bool] | None = None,
    ) -> Listener:
        """port 0 takes a free one. admits() is asked as each connection is accepted, before anything else of
        it; False closes it. OSError where the address can't be had."""
        ...

    def datagrams(
        self, host: str, port: int, on_datagram: Callable[[bytes, tuple[str, int]], None]
    ) -> Datagrams:
        """Calls on_datagram with each message and where it came from. port 0 takes a free one. OSError where
        the address can't be had."""
        ...

    def on_terminate(self, act: Callable[[], None]) -> None:
        """Calls act each time the program is asked to end."""
        ...

    def on_reload(self, act: Callable[[], None]) -> None:
        """Calls act each time the program is asked to read its configuration again."""
        ...

    def chance(self, name: str) -> RandomStream: ...

    def load(self, path: str) -> bytes | None:
        """What was last saved there; None where there is nothing to read."""
        ...

    def save(self, path: str, data: bytes) -> None:
        """Whole or not at all; OSError where it can't be written."""
        ...

    async def save_durably(self, path: str, data: bytes) -> None:
        """As save(), and returns once it lasts through a loss of power. The folder is made where there is
        none."""
        ...

    def journal(self, path: str) -> Journal:
        """Goes on at the file's end; OSError where it is not there or can't be written."""
        ...

    def lock(self, path: str) -> Callable[[], None] | None:
        """What gives it up; None where another holds it. Makes folder and file where there is none. A process
        that ends, however it does, holds it no more. OSError where it can't be made."""
        ...

    def list_files(self, folder: str) -> list[str]:
        """The files in it, in order; none where it can't be read."""
        ...

    def remove(self, path: str) -> None:
        """Does nothing where it is not there."""
        ...

    def blocks(self, path: str) -> Blocks: ...

    def append(self, path: str) -> Callable[[bytes], None]:
        """Adds to a file's end, each call at once and whole, so that a kill loses nothing said before."""
        ...

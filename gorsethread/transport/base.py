"""The interface through which the program uses the clock, the network, files and random numbers.

There are two implementations: RealTransport on the operating system, and VirtualTransport on a simulated
clock and network.
"""

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

from gorsethread.errors import GorsethreadError
from gorsethread.transport.loop_iterations import Iteration
from gorsethread.transport.process_memory import MemoryUse

MAX_READ_BYTES = 65_536  # the most that one read of a stream returns
MAX_DATAGRAM_BYTES = 256  # the operators' platform does not carry longer datagrams between gateways


class StreamClosed(GorsethreadError):
    """Raised when a stream is closed; the text says why."""

    action = "No immediate action: connections end. If those of one peer keep ending, check that peer."


class StreamEnded(StreamClosed):
    """Raised when the peer has ended its sending normally and everything that it sent has been read."""

    action = "None: the peer has finished with this connection; a new one is opened when it is needed."


class Unreachable(GorsethreadError):
    """Raised when no connection was established in time; nothing was sent."""

    action = "Check that the peer listens at that address and that the network lets the connection through."


class RandomStream(Protocol):
    """A stream of random numbers; the same seed and the same name give the same numbers."""

    def random(self) -> float: ...
    def uniform(self, a: float, b: float) -> float: ...
    def randrange(self, stop: int) -> int: ...
    def expovariate(self, rate: float) -> float: ...


class Timer(Protocol):
    """A pending call of Transport.call_at()."""

    def cancel(self) -> None: ...


class Stream(Protocol):
    """A connection that carries ordered bytes both ways.

    Attributes:
        peer: The peer's address, as host:port.
        unsent: Bytes written that have not been handed to the network yet.
    """

    peer: str

    @property
    def unsent(self) -> int: ...

    async def read(self) -> bytes:
        """Returns between 1 and MAX_READ_BYTES bytes.

        Raises:
            StreamEnded: The peer ended its sending normally.
            StreamClosed: The stream ended in another way, such as a reset.
        """
        ...

    def is_idle(self) -> bool:
        """Returns whether no bytes are unread and, as far as this machine knows, the peer has not ended."""
        ...

    def has_unread_bytes(self) -> bool:
        """Returns whether bytes of the peer have arrived that no read has returned yet."""
        ...

    def peer_ended(self) -> bool:
        """Returns whether the peer has ended its sending, even if bytes that it sent earlier are unread."""
        ...

    def write(self, data: bytes) -> None:
        """Queues bytes to send; once the stream has ended they are dropped, and the next read raises."""
        ...

    def end_sending(self) -> None:
        """Sends what was written and then half-closes the stream; the peer's bytes can still be read.

        Closing a socket that has unread bytes makes the system send a reset, and the peer then loses what it
        has not read yet. A half-close avoids that.
        """
        ...

    async def drained(self) -> None:
        """Waits until nothing written is unsent.

        Raises:
            StreamClosed: The stream ended first.
        """
        ...

    def close(self) -> None: ...


class Listener(Protocol):
    """A port on which connections are accepted."""

    port: int

    def close(self) -> None: ...


class Datagrams(Protocol):
    """A port for datagrams, which may be lost, delayed, duplicated or reordered."""

    port: int

    def send(self, to: tuple[str, int], data: bytes) -> None:
        """Sends a datagram; a loss is not reported.

        Raises:
            ValueError: The datagram is longer than MAX_DATAGRAM_BYTES.
        """
        ...

    def close(self) -> None: ...


class RandomAccessFile(Protocol):
    """A file for random access, whose contents survive the process even when it is killed."""

    def read(self, offset: int, length: int) -> bytes:
        """Returns the bytes at an offset, with zeros where nothing was written."""
        ...

    def write(self, offset: int, data: bytes) -> None: ...


class AppendOnlyFile(Protocol):
    """An append-only file.

    After an OSError it is unknown how much of the data is in the file, so later calls of append() fail too.
    """

    async def append(self, data: bytes) -> None:
        """Appends data and returns once it would survive a loss of power.

        Only one call may be in progress.

        Raises:
            OSError: The data could not be written or flushed.
        """
        ...

    def close(self) -> None: ...


class Transport(Protocol):
    """The clock, network, files and random numbers of one process."""

    def now(self) -> float:
        """Returns the seconds of a monotonic clock, which all processes of a machine share."""
        ...

    def wall_time(self) -> float:
        """Returns the seconds since the epoch by this machine's wall clock.

        The clock may be set, and may differ from other machines' clocks. It is only for times that are shown
        to people or sent to other machines.
        """
        ...

    def call_at(self, when: float, act: Callable[[], None]) -> Timer:
        """Calls act at a time of now().

        An exception in act ends the program, as with spawn(). The same holds for call_soon().
        """
        ...

    def call_soon(self, act: Callable[[], None]) -> None:
        """Calls act after the present callback returns and before anything new is read."""
        ...

    def watch_iterations(self, limit: float, act: Callable[[Iteration], None]) -> None:
        """Calls act after each iteration of the event loop that took over limit seconds."""
        ...

    def take_longest_iteration(self) -> Iteration:
        """Returns the longest iteration of the event loop since the last call of this method."""
        ...

    def memory_use(self) -> MemoryUse:
        """Returns the memory that this process uses."""
        ...

    async def sleep(self, seconds: float) -> None: ...

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a task; an exception in it is a defect, is reported and ends the program."""
        ...

    async def connect(self, host: str, port: int, within: float) -> Stream:
        """Opens a connection.

        Raises:
            Unreachable: No connection was established within that many seconds.
        """
        ...

    def listen(
        self,
        host: str,
        port: int,
        on_stream: Callable[[Stream], Awaitable[None]],
        admits: Callable[[], bool] | None = None,
    ) -> Listener:
        """Listens for connections.

        Args:
            host: The address to listen at.
            port: The port; 0 chooses a free one.
            on_stream: Serves one connection.
            admits: Called as each connection is accepted, before any of its bytes are read; if it returns
                False the connection is closed.

        Raises:
            OSError: The address can't be bound.
        """
        ...

    def datagrams(
        self, host: str, port: int, on_datagram: Callable[[bytes, tuple[str, int]], None]
    ) -> Datagrams:
        """Calls on_datagram with each datagram and its source address.

        Args:
            host: The address to bind.
            port: The port; 0 chooses a free one.
            on_datagram: Called with the bytes and the source.

        Raises:
            OSError: The address can't be bound.
        """
        ...

    def on_terminate(self, act: Callable[[], None]) -> None:
        """Calls act each time the process is asked to terminate (SIGTERM or SIGINT)."""
        ...

    def on_reload(self, act: Callable[[], None]) -> None:
        """Calls act each time the process is asked to reload its configuration (SIGHUP)."""
        ...

    def random_stream(self, name: str) -> RandomStream:
        """Returns the stream of random numbers of that name."""
        ...

    def load(self, path: str) -> bytes | None:
        """Returns the contents of a file, or None if it can't be read."""
        ...

    def save(self, path: str, data: bytes) -> None:
        """Replaces a file's contents atomically.

        Raises:
            OSError: The file can't be written.
        """
        ...

    async def save_durably(self, path: str, data: bytes) -> None:
        """Replaces a file's contents as save() does, and returns once they would survive a loss of power.

        A missing folder is created.
        """
        ...

    def open_append_only(self, path: str) -> AppendOnlyFile:
        """Opens an existing file to append to it.

        Raises:
            OSError: The file does not exist or can't be written.
        """
        ...

    def lock(self, path: str) -> Callable[[], None] | None:
        """Takes an exclusive lock on a file.

        A missing folder or file is created. The lock of a process is released however the process ends.

        Returns:
            A function that releases the lock, or None if another process holds it.

        Raises:
            OSError: The file can't be created.
        """
        ...

    def list_files(self, folder: str) -> list[str]:
        """Returns the sorted names of the files in a folder; none if the folder can't be read."""
        ...

    def remove(self, path: str) -> None:
        """Removes a file, if it exists."""
        ...

    def open_random_access(self, path: str) -> RandomAccessFile:
        """Opens a file for random access, and creates it if it is missing."""
        ...

    def open_appender(self, path: str) -> Callable[[bytes], None]:
        """Opens a file for appending and returns the function that appends to it.

        Each call writes all of its data before it returns, so killing the process loses nothing written
        earlier.
        """
        ...

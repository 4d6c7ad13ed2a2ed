"""Exchanges the schedulers' messages between gateways as datagrams, with a bound on the rate of sending.

Datagrams that are malformed, of another fleet or not from a peer are counted and dropped.
"""

from collections import Counter
from collections.abc import Callable
from zlib import crc32

from gorsethread.membership.gossip_messages import (
    Address,
    GossipDecodeError,
    GossipMessage,
    MessageKind,
    decode,
    encode,
)
from gorsethread.transport.base import Transport

MAX_MESSAGES_PER_SECOND = 400  # messages that a scheduler sends beyond this rate are dropped
MAX_MESSAGE_CHARACTERS = 200


class SendAllowance:
    """A token bucket of messages.

    Args:
        rate: messages a second, and also the largest burst.
    """

    def __init__(self, rate: int = MAX_MESSAGES_PER_SECOND) -> None:
        self._rate = float(rate)
        self._tokens = float(rate)
        self._filled_at = -float("inf")

    def try_consume(self, now: float) -> bool:
        """Takes a token for one message; returns whether there was one."""
        self._tokens = min(self._rate, self._tokens + (now - self._filled_at) * self._rate)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class PeerMessages:
    """Sends and receives the messages of this gateway's scheduler.

    Args:
        transport: the clock and the datagrams.
        listen: the address to receive at.
        addresses: every gateway's address for datagrams, both as a source and as a destination, by the
            gateway's number.
        own_number: this gateway's number.
        receive: called with the sender's number and the text of each message.
    """

    def __init__(
        self,
        transport: Transport,
        listen: Address,
        addresses: tuple[Address, ...],
        own_number: int,
        receive: Callable[[int, str], None],
    ) -> None:
        self._transport = transport
        self._listen = listen
        self._addresses = addresses
        self._own_number = own_number
        self._receive = receive
        # Identifies the fleet: with another list of addresses the same numbers may mean other gateways.
        self.fleet = crc32(repr(addresses).encode())
        self._numbers = {address: number for number, address in enumerate(addresses)}
        self._allowance = SendAllowance()
        self.counts: Counter[str] = Counter()  # by reason; there are few reasons

    def start(self) -> None:
        """Starts to receive.

        Raises OSError if the address can't be bound.
        """
        self._port = self._transport.datagrams(*self._listen, self._datagram_received)

    def stop(self) -> None:
        """Stops receiving and closes the port."""
        self._port.close()

    def send(self, gateway: int, text: str) -> None:
        """Sends a message; drops it if the gateway is unknown, or the message too long or over the rate."""
        known = 0 <= gateway < len(self._addresses)
        if (
            not known
            or len(text) > MAX_MESSAGE_CHARACTERS
            or not self._allowance.try_consume(self._transport.now())
        ):
            self.counts["not carried"] += 1
            return
        self.counts["sent"] += 1
        message = GossipMessage(MessageKind.SCHEDULER_MESSAGE, self._own_number, 0, 0, 0, (), text=text)
        self._port.send(self._addresses[gateway], encode(message, self.fleet))

    def _datagram_received(self, data: bytes, source: Address) -> None:
        try:
            message = decode(data, self.fleet)
        except GossipDecodeError as error:
            self.counts[str(error)] += 1
            return
        if self._numbers.get(source) != message.sender or message.sender == self._own_number:
            self.counts["from no peer"] += 1
        elif message.kind == MessageKind.SCHEDULER_MESSAGE:
            self.counts["heard"] += 1
            self._receive(message.sender, message.text)

"""Carries the messages between the schedulers of gateways: datagrams both ways, with a bound on their rate.

Decides nothing; what is not of this fleet, or comes from no peer, is counted and changes nothing.
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

MAX_MESSAGES_PER_SECOND = 400  # messages a second; a scheduler that asks for more is not obeyed
MAX_MESSAGE_CHARACTERS = 200  # characters of a message


class SendAllowance:
    """A token bucket of messages: so many a second, as many at once."""

    def __init__(self, rate: int = MAX_MESSAGES_PER_SECOND) -> None:
        self._rate = float(rate)
        self._tokens = float(rate)
        self._filled_at = -float("inf")

    def try_consume(self, now: float) -> bool:
        """Whether one more message may go now; it is counted."""
        self._tokens = min(self._rate, self._tokens + (now - self._filled_at) * self._rate)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class PeerMessages:
    """Sends and receives messages of this gateway's scheduler.

    addresses are all gateways', by their numbers, as datagrams come from and go to them; me is this gateway's
    number; receive is called with the sender's number and the text of each message.
    """

    def __init__(
        self,
        transport: Transport,
        listen: Address,
        addresses: tuple[Address, ...],
        me: int,
        receive: Callable[[int, str], None],
    ) -> None:
        self._transport = transport
        self._listen = listen
        self._addresses = addresses
        self._me = me
        self._receive = receive
        # A number of the fleet: gateways with another list of addresses may mean others by the same numbers.
        self.fleet = crc32(repr(addresses).encode())
        self._numbers = {address: number for number, address in enumerate(addresses)}
        self._allowance = SendAllowance()
        self.counts: Counter[str] = Counter()  # by reason, of which there are few

    def start(self) -> None:
        """Begins to receive; OSError where its address can't be had."""
        self._port = self._transport.datagrams(*self._listen, self._came)

    def stop(self) -> None:
        """Closes the port."""
        self._port.close()

    def send(self, gateway: int, words: str) -> None:
        """Sends a message to another gateway; dropped where it is unknown, too long or over the rate."""
        known = 0 <= gateway < len(self._addresses)
        if (
            not known
            or len(words) > MAX_MESSAGE_CHARACTERS
            or not self._allowance.try_consume(self._transport.now())
        ):
            self.counts["not carried"] += 1
            return
        self.counts["sent"] += 1
        message = GossipMessage(MessageKind.SCHEDULER_MESSAGE, self._me, 0, 0, 0, (), text=words)
        self._port.send(self._addresses[gateway], encode(message, self.fleet))

    def _came(self, data: bytes, source: Address) -> None:
        try:
            message = decode(data, self.fleet)
        except GossipDecodeError as error:
            self.counts[str(error)] += 1
            return
        if self._numbers.get(source) != message.sender or message.sender == self._me:
            self.counts["from no peer"] += 1
        elif message.kind == MessageKind.SCHEDULER_MESSAGE:
            self.counts["heard"] += 1
            self._receive(message.sender, message.text)

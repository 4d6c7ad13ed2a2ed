"""Carries what the decisions of one gateway tell another's: datagrams both ways, with a bound on how many.
Decides nothing; what is not of this fleet or from no peer is counted and changes nothing."""

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

SENT_MOST = 400  # messages a second; decisions that ask for more are not carried
WORDS_MOST = 200  # characters of a message


class Allowance:
    """How many messages a second may go; as many at once."""

    def __init__(self, most: int = SENT_MOST) -> None:
        self.most, self.room, self.filled = float(most), float(most), -float("inf")

    def takes(self, now: float) -> bool:
        self.room, self.filled = min(self.most, self.room + (now - self.filled) * self.most), now
        if self.room < 1.0:
            return False
        self.room -= 1.0
        return True


class Messages:
    """me: this gateway's place among the addresses, which are all gateways' as the others' datagrams come
    from and go to them. told: what hears them."""

    def __init__(
        self,
        transport: Transport,
        listen: Address,
        addresses: tuple[Address, ...],
        me: int,
        told: Callable[[int, str], None],
    ) -> None:
        self.transport, self.listen, self.addresses = transport, listen, addresses
        self.me, self.told = me, told
        self.fleet = crc32(repr(addresses).encode())  # of another list, numbers may mean other gateways
        self.numbers = {address: n for n, address in enumerate(addresses)}
        self.counts: Counter[str] = Counter()  # by reason; as many as there are reasons
        self.allowance = Allowance()

    def start(self) -> None:
        """OSError where its address can't be had."""
        self._port = self.transport.datagrams(*self.listen, self._came)

    def stop(self) -> None:
        self._port.close()

    def tell(self, head: int, words: str) -> None:
        known = 0 <= head < len(self.addresses)
        if not known or len(words) > WORDS_MOST or not self.allowance.takes(self.transport.now()):
            self.counts["not carried"] += 1
            return
        self.counts["sent"] += 1
        self._port.send(
            self.addresses[head],
            encode(
                GossipMessage(MessageKind.SCHEDULER_MESSAGE, self.me, 0, 0, 0, (), text=words), self.fleet
            ),
        )

    def _came(self, data: bytes, source: Address) -> None:
        try:
            message = decode(data, self.fleet)
        except GossipDecodeError as error:
            self.counts[str(error)] += 1
            return
        if self.numbers.get(source) != message.sender or message.sender == self.me:
            self.counts["from no peer"] += 1
        elif message.kind == MessageKind.SCHEDULER_MESSAGE:
            self.counts["heard"] += 1
            self.told(message.sender, message.text)

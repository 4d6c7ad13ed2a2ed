"""A head of a site file among its peers: the fleet's view, news of shelves and what decisions tell each
other, on one port of datagrams. News goes to some living peers at once where it is new and to one of them,
all of it, each second; what peers' news stops is handed to the module by its methods. Decides nothing.
"""

from typing import Any
from zlib import crc32

from gorsethread.gateway.peer_messages import MAX_MESSAGE_CHARACTERS, SendAllowance
from gorsethread.membership.backend_news import RESEND_INTERVAL, BackendNews, BackendNewsTable
from gorsethread.membership.gossip_messages import (
    Address,
    GossipMessage,
    MemberRecord,
    MemberState,
    MessageKind,
)
from gorsethread.nvme_gateway.membership_service import MembershipService
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import Transport

PIECE = 6  # pieces of news in a datagram
PIECES_MOST = 16  # datagrams of one telling; what is over comes with the next
TELLINGS_MOST = 100  # datagrams a second of news; what is over is lost, and mended each second


def fleet_id(site: pb.Site) -> int:
    """The number that the messages of this site's heads carry; it outlives a change of the list of heads."""
    return crc32(site.name.encode())


class PeerMessaging:
    """discovery: where the own list is heard, and what peers stop is passed on. Without an address of its own
    for peers a head hears and tells nothing. listen: where messages come in, if not at that address."""

    def __init__(
        self, transport: Transport, site: pb.Site, head: int, discovery: Any, log: Any, listen: str = ""
    ) -> None:
        self.transport, self.discovery, self.log, self.head = transport, discovery, log, head
        self.addresses: dict[int, Address] = {h.number: split_address(h.peers) for h in site.head if h.peers}
        self.numbers = {address: number for number, address in self.addresses.items()}
        # Places of heads in the list are numbers to the decisions, and mean others in another list.
        self.heads = sorted(h.number for h in site.head)
        self.list = crc32(repr(self.heads).encode())
        self.core = BackendNewsTable(
            head, self.addresses, transport.random_stream(f"peers of head {head}").randrange
        )
        self.driver: Any = None
        self.news, self.told = SendAllowance(TELLINGS_MOST), SendAllowance()
        self._begin = 0  # of all there is to tell, where the next telling goes on
        self.stopped = False
        self.side: MembershipService | None = None
        if head in self.addresses:
            others = tuple(a for number, a in sorted(self.addresses.items()) if number != head)
            zone = next(h.zone for h in site.head if h.number == head)
            me = MemberRecord(head, 0, 0, MemberState.ALIVE, zone, 0, *self.addresses[head], head)
            self.side = MembershipService(
                transport,
                me,
                split_address(listen) if listen else self.addresses[head],
                others,
                frozenset(others),
                fleet_id(site),
                log,
            )
            self.side.also = {
                MessageKind.BACKEND_NEWS: self._heard,
                MessageKind.SCHEDULER_MESSAGE: self._peer_told,
            }

    @property
    def all_may_tell(self) -> bool:
        return len(self.addresses) == len(self.heads) > 1

    def living(self) -> list[int]:
        """Other heads that are not held dead."""
        return (
            [w.member for w in self.side.view.alive if w.member != self.head] if self.side is not None else []
        )

    def start(self) -> None:
        """OSError where its address can't be had."""
        if self.side is not None:
            self.side.start()
            self._round()

    def stop(self) -> None:
        self.stopped = True
        if self.side is not None:
            self.side.stop()

    # ---- from the own list

    def list_said(
        self, life: int, version: int, shelves: list[tuple[int, int, str]], whole: bool
    ) -> list[int]:
        """Shelves that may be used again."""
        freed, fresh = self.core.list_updated(life, version, shelves, whole, self.transport.now())
        if fresh:
            self._tell(fresh, True)
        return freed

    # ---- to peers

    def _round(self) -> None:
        if self.stopped:
            return
        now = self.transport.now()
        if freed := self.core.expire(now):
            self.log.info("peers' news not borne out", shelves=freed)
            self.discovery.again(freed)
        if news := self.core.news_to_send(now):
            self._begin = self._begin % len(news) if len(news) > PIECE * PIECES_MOST else 0
            self._tell((news[self._begin :] + news[: self._begin])[: PIECE * PIECES_MOST], False)
            self._begin += PIECE * PIECES_MOST
        self.transport.call_at(now + RESEND_INTERVAL, self._round)

    def _tell(self, news: list[BackendNews], fresh: bool) -> None:
        if self.stopped or self.side is None:
            return
        for peer in self.core.draw_recipients(fresh, [w.member for w in self.side.view.alive]):
            for begin in range(0, len(news), PIECE):
                if self.news.try_consume(self.transport.now()):
                    self.side.send(
                        self.addresses[peer],
                        GossipMessage(
                            MessageKind.BACKEND_NEWS,
                            self.head,
                            0,
                            0,
                            0,
                            (),
                            backend_news=tuple(news[begin : begin + PIECE]),
                        ),
                    )

    def tell(self, place: int, words: str) -> None:
        """What the decisions tell another head, by its place in the list."""
        known = 0 <= place < len(self.heads) and self.heads[place] in self.addresses
        if (
            self.side is not None
            and known
            and len(words) <= MAX_MESSAGE_CHARACTERS
            and self.told.try_consume(self.transport.now())
        ):
            self.side.send(
                self.addresses[self.heads[place]],
                GossipMessage(MessageKind.SCHEDULER_MESSAGE, self.head, 0, 0, self.list, (), text=words),
            )

    # ---- from peers

    def _peer_told(self, source: Address, message: GossipMessage) -> None:
        if message.digest == self.list and self.driver is not None:
            self.driver.peer_message_received(self.heads.index(self.numbers[source]), message.text)

    def _heard(self, source: Address, message: GossipMessage) -> None:
        fresh = self.core.peer_reported([BackendNews(*n) for n in message.backend_news], self.transport.now())
        if not fresh:
            return
        self.log.info("peers' news", head=self.numbers[source], shelves={n.backend: n.state for n in fresh})
        self.discovery.again([n.backend for n in fresh])
        self._tell(fresh, True)

"""Exchanges datagrams with the other gateways of a site on one port.

The datagrams carry the membership protocol, news of backends, and the schedulers' messages. New news is sent
at once to some gateways that are alive, and all the news is sent to one of them each second. If the news of
other gateways stops a backend, the driver is told. The decisions are made in gorsethread.membership.
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

NEWS_PER_DATAGRAM = 6
MAX_DATAGRAMS_PER_ROUND = 16  # the rest of the news is sent in the next round
MAX_NEWS_DATAGRAMS_PER_SECOND = 100  # further ones are not sent; the rounds of each second make up for them


def fleet_id(site: pb.Site) -> int:
    """Returns the fleet number in the messages of this site's gateways; it does not depend on their list."""
    return crc32(site.name.encode())


class PeerMessaging:
    """Sends and receives the messages between this gateway and the others of its site.

    A gateway without an address for peers in the site file sends and receives none.

    Attributes:
        discovery: The endpoint list's client; passes backends on again whose news from peers has changed.
        addresses: Addresses for peers, by gateway number.
        gateway_numbers: The site's gateways, sorted; schedulers identify a gateway by its index here.
        driver: Set before start().
    """

    def __init__(
        self, transport: Transport, site: pb.Site, gateway: int, discovery: Any, log: Any, listen: str = ""
    ) -> None:
        """Sets up; listen is the address on which messages are received, if not the one in the site file."""
        self.transport, self.discovery, self.log, self.gateway = transport, discovery, log, gateway
        self.addresses: dict[int, Address] = {h.number: split_address(h.peers) for h in site.head if h.peers}
        self.numbers = {address: number for number, address in self.addresses.items()}
        # A scheduler's message is only valid between gateways that have the same list, because the indexes in
        # it would mean other gateways in another list.
        self.gateway_numbers = sorted(h.number for h in site.head)
        self.list_digest = crc32(repr(self.gateway_numbers).encode())
        self.news_table = BackendNewsTable(
            gateway, self.addresses, transport.random_stream(f"peers of head {gateway}").randrange
        )
        self.driver: Any = None
        self.news_allowance, self.message_allowance = (
            SendAllowance(MAX_NEWS_DATAGRAMS_PER_SECOND),
            SendAllowance(),
        )
        self._next_news = 0  # index in all the news at which the next round continues
        self.stopped = False
        self.membership: MembershipService | None = None
        if gateway in self.addresses:
            others = tuple(a for number, a in sorted(self.addresses.items()) if number != gateway)
            zone = next(h.zone for h in site.head if h.number == gateway)
            me = MemberRecord(gateway, 0, 0, MemberState.ALIVE, zone, 0, *self.addresses[gateway], gateway)
            self.membership = MembershipService(
                transport,
                me,
                split_address(listen) if listen else self.addresses[gateway],
                others,
                frozenset(others),
                fleet_id(site),
                log,
            )
            self.membership.handlers = {
                MessageKind.BACKEND_NEWS: self._news_received,
                MessageKind.SCHEDULER_MESSAGE: self._scheduler_message_received,
            }

    @property
    def all_gateways_have_peers(self) -> bool:
        """Whether the site has several gateways and each of them has an address for peers."""
        return len(self.addresses) == len(self.gateway_numbers) > 1

    def alive_gateways(self) -> list[int]:
        """Returns the other gateways that the membership view does not consider dead."""
        return (
            [member.member for member in self.membership.view.alive if member.member != self.gateway]
            if self.membership is not None
            else []
        )

    def start(self) -> None:
        """Starts to listen and to send news.

        Raises:
            OSError: The address cannot be bound.
        """
        if self.membership is not None:
            self.membership.start()
            self._send_round()

    def stop(self) -> None:
        """Leaves the fleet and closes the port."""
        self.stopped = True
        if self.membership is not None:
            self.membership.stop()

    # ---- From this gateway's endpoint list

    def list_updated(
        self, life: int, version: int, backends: list[tuple[int, int, str]], complete: bool
    ) -> list[int]:
        """Notes a message of the endpoint list; returns the backends that may be used again.

        Args:
            life: The run of the list service.
            version: The list's version in that run.
            backends: Number, start and state of each backend in the message.
            complete: Whether the message has the complete list.
        """
        freed, fresh = self.news_table.list_updated(life, version, backends, complete, self.transport.now())
        if fresh:
            self._send_news(fresh, True)
        return freed

    # ---- To peers

    def _send_round(self) -> None:
        if self.stopped:
            return
        now = self.transport.now()
        if freed := self.news_table.expire(now):
            self.log.info("news from peers was not confirmed by the endpoint list", backends=freed)
            self.discovery.republish(freed)
        if news := self.news_table.news_to_send(now):
            self._next_news = (
                self._next_news % len(news) if len(news) > NEWS_PER_DATAGRAM * MAX_DATAGRAMS_PER_ROUND else 0
            )
            self._send_news(
                (news[self._next_news :] + news[: self._next_news])[
                    : NEWS_PER_DATAGRAM * MAX_DATAGRAMS_PER_ROUND
                ],
                False,
            )
            self._next_news += NEWS_PER_DATAGRAM * MAX_DATAGRAMS_PER_ROUND
        self.transport.call_at(now + RESEND_INTERVAL, self._send_round)

    def _send_news(self, news: list[BackendNews], fresh: bool) -> None:
        if self.stopped or self.membership is None:
            return
        for peer in self.news_table.draw_recipients(
            fresh, [member.member for member in self.membership.view.alive]
        ):
            for begin in range(0, len(news), NEWS_PER_DATAGRAM):
                if self.news_allowance.try_consume(self.transport.now()):
                    self.membership.send(
                        self.addresses[peer],
                        GossipMessage(
                            MessageKind.BACKEND_NEWS,
                            self.gateway,
                            0,
                            0,
                            0,
                            (),
                            backend_news=tuple(news[begin : begin + NEWS_PER_DATAGRAM]),
                        ),
                    )

    def send_scheduler_message(self, gateway_index: int, text: str) -> None:
        """Sends a scheduler's message to another gateway, by its index in gateway_numbers.

        Drops the message if the index is unknown, the text is too long, or the allowance is used up.
        """
        known = (
            0 <= gateway_index < len(self.gateway_numbers)
            and self.gateway_numbers[gateway_index] in self.addresses
        )
        if (
            self.membership is not None
            and known
            and len(text) <= MAX_MESSAGE_CHARACTERS
            and self.message_allowance.try_consume(self.transport.now())
        ):
            self.membership.send(
                self.addresses[self.gateway_numbers[gateway_index]],
                GossipMessage(
                    MessageKind.SCHEDULER_MESSAGE, self.gateway, 0, 0, self.list_digest, (), text=text
                ),
            )

    # ---- From peers

    def _scheduler_message_received(self, source: Address, message: GossipMessage) -> None:
        if message.digest == self.list_digest and self.driver is not None:
            self.driver.peer_message_received(self.gateway_numbers.index(self.numbers[source]), message.text)

    def _news_received(self, source: Address, message: GossipMessage) -> None:
        fresh = self.news_table.peer_reported(
            [BackendNews(*n) for n in message.backend_news], self.transport.now()
        )
        if not fresh:
            return
        self.log.info(
            "news from peers", gateway=self.numbers[source], backends={n.backend: n.state for n in fresh}
        )
        self.discovery.republish([n.backend for n in fresh])
        self._send_news(fresh, True)

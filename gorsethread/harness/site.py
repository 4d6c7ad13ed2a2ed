"""Heads of a site file as real processes among shelves, a list and clients of this process, with the relay on
every way that a script spoils: between heads, to the list, and, where a script names them, to shelves and
from clients.
"""

import contextlib
from typing import Any

import msgspec
from google.protobuf import text_format

from gorsethread.durable_log import replication_messages
from gorsethread.fakes.backend import Shelf
from gorsethread.fakes.client import LoadClient
from gorsethread.fakes.discovery import NodeList
from gorsethread.harness.kill_points import planted
from gorsethread.harness.processes import Processes
from gorsethread.harness.service import ServiceTrial
from gorsethread.nvme_gateway.discovery import Ask
from gorsethread.offline_writes import messages as offline_messages
from gorsethread.simulation.script import Act, Script
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import Stream
from gorsethread.transport.real import RealTransport, free_ports

PLAYED = (
    "kill",
    "pause",
    "term",
    "cut",
    "lose",
    "drain",
    "refuse",
    "late",
    "reset",
    "mute",
    "still",
    "slow",
    "errors",
    "surge",
    "stab",
)
PARTIES = ("head", "room", "shelf", "list", "client", "volume", "point")
WAYS = ("cut", "reset", "mute")
MAIN = "import runpy; runpy.run_module('gorsethread', run_name='__main__', alter_sys=True)"


def calls(stream: Stream, first: bytes) -> str:
    """Who called a head for records, or the list, by its first bytes."""
    with contextlib.suppress(replication_messages.ProtocolError):
        for m in replication_messages.MessageReader(offline_messages.DECODER).feed(first):
            if isinstance(m, replication_messages.Hello):
                return f"head {m.gateway}"
            if isinstance(m, offline_messages.BranchHello):
                return f"head {m.gateway}"
    with contextlib.suppress(msgspec.DecodeError):
        ask: Ask = msgspec.json.decode(first.splitlines()[0], type=Ask)
        return f"head {ask.head}"
    return ""


class SiteTrial(ServiceTrial):
    """Parties are heads, rooms of them, shelves, the list, clients by their tenant, volumes."""

    list_kind = NodeList
    shelf_kind = Shelf
    client_kind = LoadClient

    def __init__(
        self,
        transport: RealTransport,
        processes: Processes,
        site: pb.Site,
        log: Any,
        script: Script,
        plant: str = "",
    ) -> None:
        super().__init__(transport, processes, site, log, script, plant)
        self.cast.own["volume"] = self._volume_act
        # All traffic through the relay costs this process, so only where a script strikes there.
        named = {name.split(" ")[0] for a in script.acts if a.kind in WAYS for name in (a.target, a.to)}
        self.led = {kind for kind in ("shelf", "client") if kind in named}
        if any(a.kind == "link" for a in script.acts):
            self.led.add("shelf")
        self.behind: dict[int, int] = {}  # ports of shelves, where the relay has the one that heads know

    def _ways(self) -> None:
        self.streams.way(calls, "list", split_address(self.list_led), split_address(self.site.list.address))
        for n, (public, private) in enumerate(zip(self.public, self.private, strict=True)):
            self.streams.way(calls, f"head {n}", ("127.0.0.1", public), ("127.0.0.1", private))
        if "shelf" in self.led:
            ports = free_ports(len(self.site.shelf))
            self.behind = {s.number: port for s, port in zip(self.site.shelf, ports, strict=True)}
            for s in self.site.shelf:
                host, port = split_address(s.address)
                self.streams.way(
                    lambda stream, first: self.processes.whose(stream.peer),
                    f"shelf {s.number}",
                    (host, port),
                    (host, self.behind[s.number]),
                    loses=True,
                )

    def made_shelf(self, *given: Any) -> Any:
        shelf = super().made_shelf(*given)
        if (port := self.behind.get(shelf.number)) is not None:
            honest = shelf._listen
            shelf._listen = lambda host, _: honest(host, port)
        return shelf

    def _site_for(self, tenant: str) -> pb.Site:
        """As its clients know it."""
        if "client" not in self.led:
            return super()._site_for(tenant)
        told = pb.Site()
        told.CopyFrom(self.site)
        for head, port in zip(told.head, free_ports(len(told.head)), strict=True):
            self.streams.way(
                f"client {tenant}",
                f"head {head.number}",
                ("127.0.0.1", port),
                split_address(head.address),
                loses=True,
            )
            head.address = f"127.0.0.1:{port}"
        return told

    async def _volume_act(self, act: Act) -> None:
        """Clients surge by themselves."""

    def _options(self, number: int) -> list[str]:
        """Of a head, besides."""
        return []

    async def _start_head(self, name: str) -> None:
        number = int(name.split(" ")[1])
        told = pb.Site()
        told.CopyFrom(self.site)
        told.list.address = self.list_led
        path = self.processes.folder / "site-of-heads.txtpb"
        path.write_text(text_format.MessageToString(told))
        flags = {
            a.to.split(" ")[1]: self.cast.flag(a)
            for a in self.script.acts
            if a.kind == "stab" and a.target == name
        }
        before = f"{planted(flags) if flags else ''}\n{self.plant}"
        await self.processes.start(
            name,
            "head",
            "--site",
            str(path),
            "--head",
            str(number),
            "--seed",
            str(self.script.seed * 1000 + number),
            *self._options(number),
            "--peers-listen",
            f"127.0.0.1:{self.private[number]}",
            "--log",
            "json",
            begins=("-c", f"{before}\n{MAIN}"),
        )

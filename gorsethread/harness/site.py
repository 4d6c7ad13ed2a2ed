"""Heads of a site file as real processes among shelves, a list and clients of this process, with the relay on
every way that a script spoils: between heads, to the list, and, where a script names them, to shelves and
from clients.
"""

import contextlib
from typing import Any

import msgspec
from google.protobuf import text_format

from gorsethread.durable_log import replication_messages
from gorsethread.fakes.backend import FakeBackend
from gorsethread.fakes.client import LoadClient
from gorsethread.fakes.discovery import FakeDiscovery
from gorsethread.harness.kill_points import kill_point_code
from gorsethread.harness.processes import Processes
from gorsethread.harness.service import ServiceTrial
from gorsethread.nvme_gateway.discovery import Ask
from gorsethread.offline_writes import messages as offline_messages
from gorsethread.simulation.script import Act, Script
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import Stream
from gorsethread.transport.real import RealTransport, free_ports

SUPPORTED_ACTS = (
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
SUPPORTED_PARTIES = ("head", "room", "shelf", "list", "client", "volume", "point")
STREAM_ACTS = ("cut", "reset", "mute")
GATEWAY_CODE = "import runpy; runpy.run_module('gorsethread', run_name='__main__', alter_sys=True)"


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

    list_kind = FakeDiscovery
    shelf_kind = FakeBackend
    client_kind = LoadClient

    def __init__(
        self,
        transport: RealTransport,
        processes: Processes,
        site: pb.Site,
        log: Any,
        script: Script,
        defect_code: str = "",
    ) -> None:
        super().__init__(transport, processes, site, log, script, defect_code)
        self.fault_player.in_process_acts["volume"] = self._volume_act
        # All traffic through the relay costs this process, so only where a script strikes there.
        named = {name.split(" ")[0] for a in script.acts if a.kind in STREAM_ACTS for name in (a.whom, a.to)}
        self.relayed_kinds = {kind for kind in ("shelf", "client") if kind in named}
        if any(a.kind == "link" for a in script.acts):
            self.relayed_kinds.add("shelf")
        # Port of each backend by its number, if the relay listens at the address that gateways know.
        self.private_backend_ports: dict[int, int] = {}

    def _add_routes(self) -> None:
        self.streams.add_route(
            calls, "list", split_address(self.relayed_list_address), split_address(self.site.list.address)
        )
        for n, (public, private) in enumerate(zip(self.public, self.private, strict=True)):
            self.streams.add_route(calls, f"head {n}", ("127.0.0.1", public), ("127.0.0.1", private))
        if "shelf" in self.relayed_kinds:
            ports = free_ports(len(self.site.shelf))
            self.private_backend_ports = {
                s.number: port for s, port in zip(self.site.shelf, ports, strict=True)
            }
            for s in self.site.shelf:
                host, port = split_address(s.address)
                self.streams.add_route(
                    lambda stream, first: self.processes.owner_of(stream.peer),
                    f"shelf {s.number}",
                    (host, port),
                    (host, self.private_backend_ports[s.number]),
                    drops_held=True,
                )

    def make_backend(self, *given: Any) -> Any:
        shelf = super().make_backend(*given)
        if (port := self.private_backend_ports.get(shelf.number)) is not None:
            honest = shelf._listen
            shelf._listen = lambda host, _: honest(host, port)
        return shelf

    def _site_for(self, tenant: str) -> pb.Site:
        """As its clients know it."""
        if "client" not in self.relayed_kinds:
            return super()._site_for(tenant)
        told = pb.Site()
        told.CopyFrom(self.site)
        for head, port in zip(told.head, free_ports(len(told.head)), strict=True):
            self.streams.add_route(
                f"client {tenant}",
                f"head {head.number}",
                ("127.0.0.1", port),
                split_address(head.address),
                drops_held=True,
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
        told.list.address = self.relayed_list_address
        path = self.processes.folder / "site-of-heads.txtpb"
        path.write_text(text_format.MessageToString(told))
        flags = {
            a.to.split(" ")[1]: self.fault_player.flag(a)
            for a in self.script.acts
            if a.kind == "stab" and a.whom == name
        }
        before = f"{kill_point_code(flags) if flags else ''}\n{self.defect_code}"
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
            begins=("-c", f"{before}\n{GATEWAY_CODE}"),
        )

"""Runs gateways with a site file as real processes; backends, discovery and clients run in this process.

The relay is on every path that a script can disturb: between gateways, to discovery and, if the script names
them, to backends and from clients.
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
from gorsethread.nvme_gateway.discovery import WatchRequest
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


def identify_caller(stream: Stream, first: bytes) -> str:
    """Returns the gateway that calls a gateway or the list, by its first bytes; "" if unknown."""
    with contextlib.suppress(replication_messages.ProtocolError):
        for message in replication_messages.MessageReader(offline_messages.DECODER).feed(first):
            if isinstance(message, replication_messages.Hello):
                return f"head {message.gateway}"
            if isinstance(message, offline_messages.BranchHello):
                return f"head {message.gateway}"
    with contextlib.suppress(msgspec.DecodeError):
        ask: WatchRequest = msgspec.json.decode(first.splitlines()[0], type=WatchRequest)
        return f"head {ask.head}"
    return ""


class SiteTrial(ServiceTrial):
    """A trial of gateways with a site file.

    Parties of its scripts are gateways, rooms of them, backends, the list, clients by tenant, and volumes.
    """

    discovery_class = FakeDiscovery
    backend_class = FakeBackend
    client_class = LoadClient

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
        # Relaying costs this process time, so only paths that the script disturbs are relayed.
        named = {
            name.split(" ")[0] for a in script.acts if a.kind in STREAM_ACTS for name in (a.target, a.to)
        }
        self.relayed_kinds = {kind for kind in ("shelf", "client") if kind in named}
        if any(a.kind == "link" for a in script.acts):
            self.relayed_kinds.add("shelf")
        # Port of each backend by its number, if the relay listens at the address that gateways know.
        self.private_backend_ports: dict[int, int] = {}

    def _add_routes(self) -> None:
        self.streams.add_route(
            identify_caller,
            "list",
            split_address(self.relayed_list_address),
            split_address(self.site.list.address),
        )
        for n, (public, private) in enumerate(zip(self.public, self.private, strict=True)):
            self.streams.add_route(
                identify_caller, f"head {n}", ("127.0.0.1", public), ("127.0.0.1", private)
            )
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
        backend = super().make_backend(*given)
        if (port := self.private_backend_ports.get(backend.number)) is not None:
            listen = backend._listen
            backend._listen = lambda host, _: listen(host, port)
        return backend

    def _site_for(self, tenant: str) -> pb.Site:
        """Returns the site as the tenant's clients know it."""
        if "client" not in self.relayed_kinds:
            return super()._site_for(tenant)
        client_site = pb.Site()
        client_site.CopyFrom(self.site)
        for head, port in zip(client_site.head, free_ports(len(client_site.head)), strict=True):
            self.streams.add_route(
                f"client {tenant}",
                f"head {head.number}",
                ("127.0.0.1", port),
                split_address(head.address),
                drops_held=True,
            )
            head.address = f"127.0.0.1:{port}"
        return client_site

    async def _volume_act(self, act: Act) -> None:
        """Does nothing: clients know the surges from their start."""

    def _options(self, number: int) -> list[str]:
        """Returns additional command-line options of a gateway."""
        return []

    async def _start_gateway(self, name: str) -> None:
        number = int(name.split(" ")[1])
        gateway_site = pb.Site()
        gateway_site.CopyFrom(self.site)
        gateway_site.list.address = self.relayed_list_address
        path = self.processes.folder / "site-of-heads.txtpb"
        path.write_text(text_format.MessageToString(gateway_site))
        flags = {
            a.to.split(" ")[1]: self.fault_player.flag(a)
            for a in self.script.acts
            if a.kind == "stab" and a.target == name
        }
        setup_code = f"{kill_point_code(flags) if flags else ''}\n{self.defect_code}"
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
            begins=("-c", f"{setup_code}\n{GATEWAY_CODE}"),
        )

"""What an endpoint list changes: the links, the pool's waiting attempts and what the scheduler knows."""

from gorsethread.gateway.backend_links import BackendLinks
from gorsethread.gateway.driver import Driver
from gorsethread.gateway.open_requests import EndpointEntry
from gorsethread.http_gateway.addresses import parse_address
from gorsethread.http_gateway.connection_pool import ConnectionPool
from gorsethread.http_gateway.endpoint_list import Instance, backend_number
from gorsethread.transport.base import Transport


class EndpointUpdates:
    """Applies endpoint lists and their changes.

    Owns `known`, the backends of the list by number, emptied as they leave it. driver and pool are set
    before the first list.

    Args:
        transport: the clocks.
        zones: the operators' names of zones, by which a zone is numbered.
        links: the table of links.
    """

    def __init__(self, transport: Transport, zones: dict[str, int], links: BackendLinks) -> None:
        self.zones = zones
        self.links = links
        self.driver: Driver
        self.pool: ConnectionPool
        self.known: dict[int, Instance] = {}
        # From the gateway's clock to the Unix clock, by which discovery dates starts. Fixed, so that one
        # start that is listed twice stays one start.
        self._unix_offset = transport.wall_time() - transport.now()

    def apply(self, instances: list[Instance], complete: bool, remembered: bool) -> None:
        """Applies a complete list, or changes of the one that is known.

        Args:
            instances: backends; one that is gone leaves the list.
            complete: backends that are not among the instances are gone.
            remembered: the list is what this process last had, not discovery's answer.
        """
        if complete:
            self.known = {}
        entries = []
        unready = {}
        for instance in instances:
            number = backend_number(instance.instance_id)
            if instance.lifecycle == "gone":
                self.known.pop(number, None)
            else:
                self.known[number] = instance
            address = parse_address(instance.host_port, instance.instance_id)
            self.links.listed(number, instance.cell, address, instance.lifecycle)
            unready[number] = instance.lifecycle != "ready"
            entries.append(self._entry(number, instance))
        if complete:
            self.links.only(set(self.known))
            unready = {number: unready.get(number, True) for number in self.pool.links}
        else:
            self.links.forget_idle()
        self.pool.withdraw(unready)
        self.driver.endpoints_listed(entries, complete, remembered)

    def _entry(self, number: int, instance: Instance) -> EndpointEntry:
        started = instance.started_at_ms * 0.001 - self._unix_offset if instance.started_at_ms > 0 else 0.0
        zone = self.zones.get(instance.zone, backend_number(instance.zone))
        return EndpointEntry(number, zone, instance.cell, instance.lifecycle == "ready", started)

"""Applies endpoint lists to the links, the pool's waiting attempts and the scheduler."""

from gorsethread.gateway.backend_links import BackendLinks
from gorsethread.gateway.driver import Driver
from gorsethread.gateway.open_requests import EndpointEntry
from gorsethread.http_gateway.addresses import parse_address
from gorsethread.http_gateway.connection_pool import ConnectionPool
from gorsethread.http_gateway.endpoint_list import Instance, backend_number
from gorsethread.transport.base import Transport


class EndpointUpdates:
    """Applies endpoint lists and their changes.

    known holds the backends of the current list by number. driver and pool have to be set before the first
    list.

    Args:
        transport: the clocks.
        zones: the numbers of zones by their names in the configuration.
        links: the table of links.
    """

    def __init__(self, transport: Transport, zones: dict[str, int], links: BackendLinks) -> None:
        self.zones = zones
        self.links = links
        self.driver: Driver
        self.pool: ConnectionPool
        self.known: dict[int, Instance] = {}
        # Unix time minus the gateway's clock, to convert the start times that discovery sends. It is fixed,
        # so that a start that is listed twice converts to the same time.
        self._unix_offset = transport.wall_time() - transport.now()

    def apply(self, instances: list[Instance], complete: bool, remembered: bool) -> None:
        """Applies a complete list, or changes of the current one.

        Args:
            instances: the backends; one with the lifecycle "gone" leaves the list.
            complete: whether the list is complete, so that backends not among the instances are gone.
            remembered: whether the list is from the configuration or an earlier process, not from discovery.
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
            self.links.update(number, instance.cell, address, instance.lifecycle)
            unready[number] = instance.lifecycle != "ready"
            entries.append(self._entry(number, instance))
        if complete:
            self.links.keep_only(set(self.known))
            unready = {number: unready.get(number, True) for number in self.pool.links}
        else:
            self.links.remove_idle()
        self.pool.update_unready(unready)
        self.driver.endpoints_listed(entries, complete, remembered)

    def _entry(self, number: int, instance: Instance) -> EndpointEntry:
        started = instance.started_at_ms * 0.001 - self._unix_offset if instance.started_at_ms > 0 else 0.0
        zone = self.zones.get(instance.zone, backend_number(instance.zone))
        return EndpointEntry(number, zone, instance.cell, instance.lifecycle == "ready", started)

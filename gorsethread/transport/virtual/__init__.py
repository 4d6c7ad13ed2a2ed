"""The virtual side: many processes in one, on a clock that jumps to what is due next and a network whose
every delay, split and loss comes from a seed. Nothing here reads a real clock, opens a socket or draws
chance of its own.

Each process has a transport of its own. What reaches it from outside (timers, bytes, new connections) passes
its gate: a paused process finds all of it due at once when it goes on, a killed one nothing any more.
"""

from gorsethread.transport.virtual.disk import Disk
from gorsethread.transport.virtual.loop import SimulationStuck, VirtualLoop
from gorsethread.transport.virtual.network import Network, NetworkConditions
from gorsethread.transport.virtual.process import VirtualTransport
from gorsethread.transport.virtual.streams import MAX_RESEND_DELAY

__all__ = [
    "MAX_RESEND_DELAY",
    "Disk",
    "Network",
    "NetworkConditions",
    "SimulationStuck",
    "VirtualLoop",
    "VirtualTransport",
]

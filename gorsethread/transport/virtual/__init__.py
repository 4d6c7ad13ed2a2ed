"""The transport of simulated processes, all of which run in one real process.

The clock jumps to the next event that is due. Every delay, split and loss of the network is drawn from a
seed. Nothing here reads a real clock, opens a socket or draws random numbers from another source.

Each simulated process has its own VirtualTransport. Every event from outside (a timer, bytes, a new
connection) passes through its deliver(): a paused process gets all of them at once when it resumes, and a
killed process gets none.
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

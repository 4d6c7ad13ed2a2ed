"""The memory of this process, as the system counts it, and what its collector of reference cycles freed."""

import gc
import os
from pathlib import Path
from typing import NamedTuple

STATM = Path("/proc/self/statm")  # sizes in pages: all, resident, resident and shared with files, ...
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class MemoryUse(NamedTuple):
    """The memory that a process uses.

    Attributes:
        resident: Bytes in memory, with the pages of files that other processes may share; 0 if unknown.
        private: Bytes in memory that belong to this process alone; 0 if unknown.
        collected: Objects that were freed only by the collector of reference cycles, since the start.
    """

    resident: int
    private: int
    collected: int


UNKNOWN_MEMORY = MemoryUse(0, 0, 0)


def memory_use() -> MemoryUse:
    """Returns the memory of this process; its sizes are 0 where the system does not tell them."""
    collected = sum(generation["collected"] for generation in gc.get_stats())
    try:
        pages = [int(size) for size in STATM.read_bytes().split()]
    except OSError:
        return UNKNOWN_MEMORY._replace(collected=collected)
    resident, shared = pages[1], pages[2]
    return MemoryUse(resident * PAGE_BYTES, (resident - shared) * PAGE_BYTES, collected)

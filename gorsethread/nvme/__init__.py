"""NVMe over TCP, the subset a head and its shelves speak: bytes to PDUs and back. No I/O, no clock."""

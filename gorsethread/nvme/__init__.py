"""The subset of NVMe over TCP that the gateway and its backends use, without I/O and without a clock."""

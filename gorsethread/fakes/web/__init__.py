"""Fake servers and clients on the operators' platform: HTTP clients, backends and discovery round a gateway.

What they do, and what they record for the invariant checker, is as on the NVMe side; only how they speak
differs. Each process of the program reaches every other party at an address of its own, by which these know
which it is.
"""

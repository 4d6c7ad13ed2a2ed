"""Fake servers and clients on the operators' platform: HTTP clients, backends and discovery round a gateway.

They behave, and record for the invariant checkers, as the NVMe fakes do; only the protocol differs. Each
gateway reaches every backend and discovery at a port of its own, which tells them which gateway it is.
"""

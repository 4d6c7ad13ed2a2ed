"""Connects the I/O-free modules of `gorsethread/offline_writes/` to a branch gateway."""

"""Queues the writes of a branch site while it is disconnected, and decides in what order they are replayed.

The modules do no I/O, read no clock and draw no random numbers. `gorsethread/nvme_gateway/offline/` connects
them to a gateway.
"""

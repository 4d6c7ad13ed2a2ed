"""A branch site that is disconnected from the main site: its write queue, causal order and replay.

Pure: no I/O, no clock, no chance. `gorsethread/nvme_gateway/offline/` connects it to a gateway.
"""

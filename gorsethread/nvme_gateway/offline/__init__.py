"""A branch gateway's offline writes: connects the cores of `gorsethread/offline_writes/` to a gateway."""

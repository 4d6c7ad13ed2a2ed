"""Many heads of thin, uneven traffic on few shelves: what the decisions alone make of it, on a virtual clock.

Real policies, one a head, meet model shelves; there are no sockets, so that a change of the module is judged
in seconds. Volumes come through one to three heads, lean on one of them, surge, and share shelves; a burst
lifts all of them for a while. Worth is counted as the operators do: by volume and second, units inside the
volume's share by weight of what its shelves can do count in full, others little, late ones a part.

Part of the shelves may be replaced, each by a cold one that is told of late and falls over when all heads
push it; heads may be restarted meanwhile, and their messages are late, lost or doubled.

Left out: sockets and their costs, handshakes, put-off writes, re-reads, thrash, zones, clients that come
again. Times are in the measure of a fleet slowed down, as on the operators' days at size.
"""

"""A branch whose shelves lie beyond a link: when it is cut off, its queue of writes, their order and replay.
Pure: no I/O, no clock, no chance."""

"""A gateway that restarts: what it may do while it does not know yet what it held. Pure, no I/O."""

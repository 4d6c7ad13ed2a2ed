"""Decides what a restarting gateway may do until it has recovered its records. Pure: no I/O."""

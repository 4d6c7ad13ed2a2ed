"""Judges the seven rules by what shelves, clients and the list saw on their sockets."""

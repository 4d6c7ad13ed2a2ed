"""Checks seven invariants from what backends, clients and discovery recorded on their sockets."""

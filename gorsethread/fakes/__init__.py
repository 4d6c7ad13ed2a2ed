"""Fakes of what surrounds a gateway: backends, discovery and clients, with faults from scripts and seeds."""

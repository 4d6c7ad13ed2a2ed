"""Carries NVMe queues over transport streams: the server, and the host that connects to one."""

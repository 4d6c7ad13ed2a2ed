"""Latency accounts: where each transaction's time went, and who held what it waited for."""

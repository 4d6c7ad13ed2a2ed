"""Attributes the latency of requests to its causes, for an operator: stages, holders and backends."""

"""Durable records of one head: frames in segments, recovery, group commit; whom others hold copies for."""

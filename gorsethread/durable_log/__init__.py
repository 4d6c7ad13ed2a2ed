"""The durable log of one gateway: frames in segments, group commit, compaction, recovery and replicas."""

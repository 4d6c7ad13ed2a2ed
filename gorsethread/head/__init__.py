"""The running head: clients in, the policy's decisions, shelves out. It carries out and decides nothing."""

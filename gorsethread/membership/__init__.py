"""Membership of the fleet: who is alive, and news of backends that drain or are gone. No I/O."""

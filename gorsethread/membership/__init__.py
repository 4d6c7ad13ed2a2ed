"""Membership of the fleet: which gateways are alive, and news of draining or removed backends. No I/O."""

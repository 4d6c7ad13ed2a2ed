"""Where a gateway's log and its replicas of others' logs are, below the folder that it was given."""


def own_log_folder(folder: str, gateway: int) -> str:
    """Return the folder of a gateway's own log.

    It has the gateway's number, so that of two gateways whose folders were exchanged neither takes the
    other's.
    """
    return f"{folder}/own-{gateway}"


def replica_folder(folder: str, origin: int) -> str:
    """Return the folder of the replica of another gateway's log."""
    return f"{folder}/copies/head-{origin}"

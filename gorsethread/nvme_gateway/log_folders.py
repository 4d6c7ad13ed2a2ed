"""The folders of a gateway's log and of its replicas of other logs, below the folder for its records."""


def own_log_folder(folder: str, gateway: int) -> str:
    """Return the folder of a gateway's own log.

    The name has the gateway's number, so that two gateways whose folders were exchanged do not use each
    other's log.
    """
    return f"{folder}/own-{gateway}"


def replica_folder(folder: str, origin: int) -> str:
    """Return the folder of the replica of another gateway's log."""
    return f"{folder}/copies/head-{origin}"

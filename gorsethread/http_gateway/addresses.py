"""Addresses as the operators write them: host:port."""

from typing import Any

from gorsethread.errors import GorsethreadError

Address = tuple[str, int]
PORT_LIMIT = 65_536


class UnusableConfigurationError(GorsethreadError):
    """The configuration can't be used; the text names the place and the reason."""

    action = (
        "Correct that place of the file GW_CONFIG names and start anew, or SIGHUP a gateway that runs on."
    )


def parse_address(value: Any, place: str) -> Address:
    """The host and port of a text.

    Raises UnusableConfigurationError, which names the place, for anything else.
    """
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not colon or not port.isdigit() or not 0 < int(port) < PORT_LIMIT:
        raise UnusableConfigurationError(f"{place}: {value!r} is no host:port")
    return host, int(port)

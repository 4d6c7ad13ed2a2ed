"""Parses addresses in the operators' form, host:port."""

from typing import Any

from gorsethread.errors import GorsethreadError

Address = tuple[str, int]
PORT_LIMIT = 65_536


class UnusableConfigurationError(GorsethreadError):
    """The configuration can't be used; the text names the field and the reason."""

    action = (
        "Correct that field in the file that GW_CONFIG names, then restart the gateway, "
        "or send it SIGHUP if it still runs."
    )


def parse_address(value: Any, field: str) -> Address:
    """Returns the host and port of a text.

    Raises UnusableConfigurationError, which names the field, for anything else.
    """
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not colon or not port.isdigit() or not 0 < int(port) < PORT_LIMIT:
        raise UnusableConfigurationError(f"{field}: {value!r} is not host:port")
    return host, int(port)

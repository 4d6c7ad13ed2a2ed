"""python -m gorsethread.http_gateway: one gateway in service, as the platform starts it.

Exit status 0: ended in order, 2: the configuration or the address can't be used, 1: a defect.
"""

import os
import sys

from gorsethread.http_gateway.addresses import UnusableConfigurationError
from gorsethread.http_gateway.configuration import Configuration, read_configuration
from gorsethread.http_gateway.gateway import Gateway, ListenError
from gorsethread.logs import log_for, start_logs
from gorsethread.transport.real import RealTransport, run

PATH_VARIABLE = "GW_CONFIG"  # the operators' name: the environment variable with the configuration's path
ENDED_IN_ORDER = 0
DEFECT = 1
UNUSABLE = 2


def main() -> int:
    """Runs one gateway to its end and returns the exit status."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        print("gorsethread: GW_CONFIG is not set: it names the configuration's file", file=sys.stderr)
        return UNUSABLE
    start_logs(True)
    status = ENDED_IN_ORDER

    async def serve(transport: RealTransport) -> None:
        nonlocal status
        try:
            configuration = read_configuration(transport.load(path), path)
        except UnusableConfigurationError as error:
            print(f"gorsethread: {'; '.join(error.lines)}", file=sys.stderr)
            status = UNUSABLE
            return
        status = await run_gateway(transport, configuration, path)

    run(serve)
    return status


async def run_gateway(transport: RealTransport, configuration: Configuration, path: str) -> int:
    """Serves until the program is terminated and returns the exit status."""
    log = log_for(gateway=configuration.name)
    gateway = Gateway(transport, configuration, path, log)
    transport.on_reload(gateway.reload)
    transport.on_terminate(transport.finish)
    try:
        gateway.start()
        await transport.until_finished()
        await gateway.end()
        await transport.until_finished()  # raises what failed meanwhile
    except ListenError as error:
        print(f"gorsethread: {path}: listen: {error}", file=sys.stderr)
        return UNUSABLE
    except Exception as error:
        log.exception("the gateway must end: a defect", reason=repr(error))
        return DEFECT
    return ENDED_IN_ORDER


if __name__ == "__main__":
    sys.exit(main())

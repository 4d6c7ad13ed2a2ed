"""Runs one HTTP gateway, as the platform starts it: python -m gorsethread.http_gateway.

Exit status: 0 after an orderly shutdown, 1 after an unexpected error, 2 if the configuration or an address
can't be used.
"""

import os
import sys

from gorsethread.http_gateway.addresses import UnusableConfigurationError
from gorsethread.http_gateway.configuration import Configuration, read_configuration
from gorsethread.http_gateway.gateway import Gateway, ListenError
from gorsethread.logs import log_for, start_logs
from gorsethread.transport.real import RealTransport, exit_process, run

PATH_VARIABLE = "GW_CONFIG"  # the operators' environment variable for the configuration file's path
EXIT_OK = 0
EXIT_ERROR = 1
EXIT_UNUSABLE = 2


def main() -> int:
    """Runs one gateway to its end and returns the exit status."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        print(
            "gorsethread: GW_CONFIG is not set; set it to the path of the configuration file", file=sys.stderr
        )
        return EXIT_UNUSABLE
    start_logs(True)
    status = EXIT_OK

    async def serve(transport: RealTransport) -> None:
        nonlocal status
        try:
            configuration = read_configuration(transport.load(path), path)
        except UnusableConfigurationError as error:
            print(f"gorsethread: {'; '.join(error.lines)}", file=sys.stderr)
            status = EXIT_UNUSABLE
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
        await transport.until_finished()  # raises if a task failed meanwhile
    except ListenError as error:
        print(f"gorsethread: {path}: listen: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    except Exception as error:
        log.exception("unexpected error; the gateway stops", reason=repr(error))
        return EXIT_ERROR
    return EXIT_OK


if __name__ == "__main__":
    exit_process(main())

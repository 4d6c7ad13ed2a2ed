"""python -m gorsethread.http_gateway: one gateway in service, as the platform starts it.

Exit status 0: ended in order, 2: the configuration or the address can't be used, 1: a defect."""

import os
import sys

from gorsethread.http_gateway.config import Unusable, read_configuration
from gorsethread.http_gateway.program import CannotListen, Gateway
from gorsethread.logs import log_for, start_logs
from gorsethread.transport.real import RealTransport, run


def main() -> int:
    path = os.environ.get("GW_CONFIG")
    if not path:
        print("gorsethread: GW_CONFIG is not set: it names the configuration's file", file=sys.stderr)
        return 2
    start_logs(True)
    status = 0

    async def serve(transport: RealTransport) -> None:
        nonlocal status
        try:
            configuration = read_configuration(transport.load(path), path)
        except Unusable as error:
            print(f"gorsethread: {'; '.join(error.lines)}", file=sys.stderr)
            status = 2
            return
        log = log_for(head=configuration.name)
        head = Gateway(transport, configuration, path, log)
        transport.on_reload(head.reload)
        transport.on_terminate(transport.finish)
        try:
            head.start()
            await transport.until_finished()
            await head.end()
            await transport.until_finished()  # raises what failed meanwhile
        except CannotListen as error:
            print(f"gorsethread: {path}: listen: {error}", file=sys.stderr)
            status = 2
        except Exception as error:
            log.exception("the gateway must end: a defect", reason=repr(error))
            status = 1

    run(serve)
    return status


if __name__ == "__main__":
    sys.exit(main())

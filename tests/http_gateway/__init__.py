"""The gateway in service, package gorsethread.http_gateway."""

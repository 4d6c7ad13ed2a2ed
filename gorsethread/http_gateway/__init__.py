"""The gateway in service on the operators' platform: HTTP in and out, the same driver and scheduler.

A request's life, from top to bottom:

- admitted: `client_side` holds its connection, `client_connection` reads it, `request_parsing` checks it;
- queued: `gorsethread.gateway.driver` takes it, and the scheduler decides when and where it is attempted;
- attempted: `backend_link` sends it over a `backend_connection` of the `connection_pool`;
- answered: `backend_link` ends the attempt, the driver tells `client_connection`, which answers once.

`discovery` watches the endpoint list, `endpoint_updates` applies it, `gateway` assembles all of this,
`configuration` reads what it is set up with, `__main__` runs it.
"""

"""The HTTP gateway that runs on the operators' platform, built on the common driver and scheduler.

The stages of a request:

- admitted: `client_side` owns its connection, `client_connection` reads it, `request_parsing` checks it;
- queued: `gorsethread.gateway.driver` admits it, and the scheduler decides when and where it is attempted;
- attempted: `backend_link` sends it over a `backend_connection` of the `connection_pool`;
- answered: `backend_link` ends the attempt and the driver calls `client_connection`, which answers once.

`discovery` watches the endpoint list, `endpoint_updates` applies it, `gateway` assembles the parts,
`configuration` reads the configuration file, `__main__` runs the program.
"""

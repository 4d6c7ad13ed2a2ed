"""What all gateways share: a request's life from admission to answer, links to backends as a protocol."""

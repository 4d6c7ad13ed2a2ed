"""HTTP/1.1 of the operators' platform on h11: bytes to requests and responses and back. No I/O, no clock."""

"""HTTP/1.1 of the operators' platform on h11: bytes to requests and answers and back. No socket, no clock."""

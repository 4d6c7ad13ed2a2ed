"""An HTTP/1.1 codec for the operators' platform, built on h11; does no I/O and reads no clock."""

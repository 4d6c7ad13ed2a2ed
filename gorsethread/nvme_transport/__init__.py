"""NVMe queues carried over transport streams: serving them and dialing them. Decides nothing."""

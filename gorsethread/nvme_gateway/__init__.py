"""The gateway of a site file over NVMe/TCP: its durable and offline parts; the rest is in head/ still."""

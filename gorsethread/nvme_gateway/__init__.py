"""The durable and offline parts of the NVMe/TCP gateway; its other parts are in gorsethread/head/."""

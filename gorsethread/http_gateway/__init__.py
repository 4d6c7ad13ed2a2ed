"""The gateway in service on the operators' platform: their HTTP in and out, the same driver and decisions."""

"""The part of a gateway that is the same for every wire protocol: requests, attempts, deadlines, links."""

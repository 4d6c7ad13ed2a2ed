"""Stand-ins for what surrounds a head: shelves, node list, clients, with faults drawn from a seed."""

"""Orders of two events that cross, forced on real connections with the program of `run`."""

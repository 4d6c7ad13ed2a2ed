"""The whole program under one seed: scripts of faults, worlds that play them, what is made of a failure."""

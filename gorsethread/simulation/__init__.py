"""Simulates whole sites, each run from one seed: fault scripts, the simulations, and the study of failed runs."""

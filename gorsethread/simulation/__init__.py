"""Simulates whole sites, each run from one seed: fault scripts, simulations and the study of failed runs."""

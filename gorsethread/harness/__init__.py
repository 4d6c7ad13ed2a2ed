"""Runs gateways as real processes under scripted faults, with relays between them and outside checkers."""

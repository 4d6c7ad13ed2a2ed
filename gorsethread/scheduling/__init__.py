"""Scheduling of requests to backends: one module for each mechanism. Imports only the standard library."""

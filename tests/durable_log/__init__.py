"""Tests of the durable log."""

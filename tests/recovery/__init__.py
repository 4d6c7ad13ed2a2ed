"""Tests of a gateway's recovery."""

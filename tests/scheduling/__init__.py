"""Tests of the scheduler, of each mechanism and as a whole."""

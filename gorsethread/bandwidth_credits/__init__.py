"""Bandwidth credits between partners: who fetched how much from whom, what is owed, whom a fill is asked of.

Pure: no I/O, no clock, no chance.
"""

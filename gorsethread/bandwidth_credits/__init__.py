"""Bandwidth credits between partners: what each fetched from and owes to others, and from whom to fetch next.

No I/O, no clock and no random numbers.
"""

"""Sockets, clocks, timers, files and random numbers, behind one interface.

No other package opens a socket, reads a clock, sets a timer or draws a random number. base.py defines the
interface, real.py implements it on the operating system and virtual/ implements it for simulations.
"""

"""The only place that opens sockets, reads a clock, sets timers or draws chance; one interface, real here."""

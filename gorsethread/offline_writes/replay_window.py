"""How many queued writes are on their way to the main site at once. Pure. Replay yields to live work there:
it grows while answers come well within the promised time, and halves with one that does not, or is turned
away.
"""

WINDOW = 16  # at most
QUICK_PART = 0.5  # of the promised time, within which an answer shows room
AGAIN_LEAST, AGAIN_MOST = 0.1, 3.0  # seconds until what was turned away comes again, doubling


class Pace:
    def __init__(self) -> None:
        self.window = 1.0
        self._turned = 0  # turned away in turn

    def answered(self, took: float, promised: float) -> None:
        self._turned = 0
        if took <= QUICK_PART * promised:
            self.window = min(float(WINDOW), self.window + 1.0 / self.window)
        elif took > promised:
            self.window = max(1.0, 0.5 * self.window)

    def turned_away(self, after: float) -> float:
        """Seconds until it may come again; after: what the main site said, 0 for nothing."""
        self.window = max(1.0, 0.5 * self.window)
        self._turned = min(self._turned + 1, 10)
        return max(after, min(AGAIN_MOST, AGAIN_LEAST * 2.0 ** (self._turned - 1)))

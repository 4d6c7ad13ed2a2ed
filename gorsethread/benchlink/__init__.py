"""The bench link: the decisions on the wire of the bench. Run with python -m gorsethread.benchlink."""

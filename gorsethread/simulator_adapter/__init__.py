"""The decisions on the wire of the operators' simulator: run with python -m gorsethread.simulator_adapter."""

"""Connects the scheduler to the operators' simulator. Run it with python -m gorsethread.simulator_adapter."""

"""Adapter that runs balancers in the simulator: JSON lines of events in, JSON lines of actions out."""

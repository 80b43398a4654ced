"""Runs balancers behind the simulator's wire: JSON lines of events in, actions out."""

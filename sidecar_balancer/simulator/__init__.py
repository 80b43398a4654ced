"""The adapter that puts balancers on the simulator's wire."""

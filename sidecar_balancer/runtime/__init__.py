"""Runtime support: the engine, the clock, timers, body streaming and queueing delay."""

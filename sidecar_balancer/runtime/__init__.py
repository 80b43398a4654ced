"""What moves events and bytes: the engine, the clock, timers, body streaming and queueing delay."""

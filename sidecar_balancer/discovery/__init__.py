"""Service discovery: polling sources for the endpoint list, and reading it."""

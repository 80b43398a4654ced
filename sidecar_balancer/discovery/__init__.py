"""Where the endpoint list comes from, and how it is read."""

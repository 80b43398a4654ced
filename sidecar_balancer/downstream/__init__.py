"""Client connections of the application: accepting, reading requests and writing responses."""

"""Configuration types, and the functions that read and validate them."""

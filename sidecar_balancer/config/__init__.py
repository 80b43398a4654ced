"""The configuration: its types and its readers."""

"""The admin API: its server and handlers, the operator overrides and a client for the command line."""

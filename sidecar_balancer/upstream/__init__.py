"""The servers' side: connections to servers."""

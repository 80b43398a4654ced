"""The actions that the current event produces."""

from __future__ import annotations

from sidecar_balancer.policy.actions import Action


class ActionQueue:
    """Collects actions in order; every component of a balancer appends to the same queue."""

    def __init__(self) -> None:
        self.actions: list[Action] = []

    def restart(self) -> list[Action]:
        """Start a new list for the next event and return it; the previous one is not touched any more."""
        self.actions = []
        return self.actions

    def append(self, action: Action) -> None:
        """Add an action after those of the current event so far."""
        self.actions.append(action)

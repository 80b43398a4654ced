"""Queue of the actions produced by the current event."""

from __future__ import annotations

from sidecar_balancer.policy.actions import Action


class ActionQueue:
    """Collects actions in order; every component of a balancer appends to the same queue."""

    def __init__(self) -> None:
        self.actions: list[Action] = []

    def begin_event(self) -> list[Action]:
        """Start a new list for the next event and return it; the previous list no longer changes."""
        self.actions = []
        return self.actions

    def append(self, action: Action) -> None:
        """Append an action to those of the current event."""
        self.actions.append(action)

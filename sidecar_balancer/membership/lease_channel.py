"""Channel that carries lease messages and fenced commands in membership datagrams."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from sidecar_balancer.lease.fencing import FencedCommand
from sidecar_balancer.lease.manager import LeaseManager
from sidecar_balancer.lease.protocol import LeaseMessage, LeaseMessageKind, OutgoingLeaseMessage
from sidecar_balancer.membership.messages import DirectUpdate, LeaseUpdate

_KINDS = {int(kind): kind for kind in LeaseMessageKind}


class CommandListener(Protocol):
    """Callback for each new command of another member whose token is current."""

    def __call__(self, command: FencedCommand, /) -> None:
        """Handle the command."""


class LeaseChannel:
    """Adapter between a member's `LeaseManager` and the updates in datagrams (see `swim.LeaseHandler`)."""

    def __init__(self, leases: LeaseManager) -> None:
        self._leases = leases
        self.command_listener: CommandListener | None = None

    def tick(self, now_us: int, alive: Iterable[int]) -> list[DirectUpdate]:
        """Advance the leases; `alive` are the other members believed alive."""
        return _direct_updates(self._leases.tick(now_us, alive))

    def receive_update(self, now_us: int, sender: int, update: LeaseUpdate) -> list[DirectUpdate]:
        """Handle a lease message from `sender`; drop and count one of an unknown kind."""
        kind = _KINDS.get(update.kind)
        if kind is None:
            self._leases.drop_unknown_message()
            return []
        message = LeaseMessage(kind, update.lease, update.epoch, update.request_id)
        return _direct_updates(self._leases.receive(now_us, sender, message))

    def accept_command(self, command: FencedCommand) -> bool:
        """Notify the listener of a new command with a current token; return False for any other."""
        if not self._leases.accept_command(command):
            return False
        if self.command_listener is not None:
            self.command_listener(command)
        return True


def _direct_updates(outgoing: Iterable[OutgoingLeaseMessage]) -> list[DirectUpdate]:
    return [DirectUpdate(target, LeaseUpdate(*message)) for target, message in outgoing]

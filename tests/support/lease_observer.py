"""Observer of a tier's leases and fenced commands, polled from the admin servers."""

from __future__ import annotations

from itertools import pairwise
from typing import Any, NamedTuple

from harness import Tier


class ObservedCommand(NamedTuple):
    """Command of a lease holder.

    All sidecars on one machine read the same monotonic clock, so their commands can be put in order.
    """

    issued_us: int
    lease: str
    token: int
    member: int


async def lease_view(tier: Tier, number: int) -> dict[str, Any] | None:
    """Return sidecar `number`'s view of the leases; None while it does not respond."""
    return (await tier.call_admin(number, "GET", "/api/duties")).json()


class LeaseObserver:
    """Poller of all running sidecars; `tokens` holds each one's tokens by lease, as of the latest poll."""

    def __init__(self, tier: Tier) -> None:
        self.tier = tier
        self.commands: set[ObservedCommand] = set()
        self.tokens: dict[int, dict[str, int]] = {}

    async def poll(self) -> None:
        """Record the commands and tokens of every sidecar that responds."""
        self.tokens = {}
        for number in list(self.tier.processes):
            await self.poll_member(number)

    async def poll_member(self, number: int) -> None:
        """Record the commands and tokens of one sidecar, if it responds."""
        view = await lease_view(self.tier, number)
        if view is None:
            return
        self.tokens[number] = view["held"]
        self.commands |= {
            ObservedCommand(issued_us, lease, token, number) for issued_us, lease, token, _ in view["acts"]
        }

    async def holder(self, lease: str, except_member: int | None = None) -> int | None:
        """Return a sidecar that holds the lease, or None."""
        await self.poll()
        holders = (number for number, tokens in self.tokens.items() if tokens[lease])
        return next((number for number in holders if number != except_member), None)

    async def wait_for_holder(self, lease: str, except_member: int | None = None) -> int:
        """Wait until a sidecar holds the lease; return its number."""
        found: list[int] = []

        async def is_held() -> bool:
            holder = await self.holder(lease, except_member)
            if holder is not None:
                found.append(holder)
            return holder is not None

        await self.tier.wait_until(is_held)
        return found[0]

    async def wait_for_command(self, member: int) -> None:
        """Wait until this sidecar has issued another command."""
        await self.poll()
        before = self._commands_of(member)

        async def has_new_command() -> bool:
            await self.poll()
            return self._commands_of(member) > before

        await self.tier.wait_until(has_new_command)

    def _commands_of(self, member: int) -> set[ObservedCommand]:
        return {command for command in self.commands if command.member == member}

    def fencing_violation_count(self) -> int:
        """Count commands with an older token than the command before, and tokens used by several holders."""
        count = 0
        for lease in {command.lease for command in self.commands}:
            ordered = sorted(command for command in self.commands if command.lease == lease)
            count += sum(later.token < earlier.token for earlier, later in pairwise(ordered))
            for token in {command.token for command in ordered}:
                count += len({command.member for command in ordered if command.token == token}) > 1
        return count

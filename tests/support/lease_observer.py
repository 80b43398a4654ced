"""What the admin servers of a tier tell of its leases and commands, gathered over time."""

from __future__ import annotations

from itertools import pairwise
from typing import Any, NamedTuple

from harness import Tier


class ObservedCommand(NamedTuple):
    """A command of a lease's holder.

    The sidecars' monotonic clocks are one on this machine, so the commands of all can be put in order.
    """

    issued_us: int
    lease: str
    token: int
    member: int


async def lease_view(tier: Tier, number: int) -> dict[str, Any] | None:
    """Sidecar `number`'s view of the leases; None while it does not answer."""
    return (await tier.call_admin(number, "GET", "/api/duties")).json()


class LeaseObserver:
    """Polls all sidecars that run; `tokens` holds the latest view: the token held, by sidecar and lease."""

    def __init__(self, tier: Tier) -> None:
        self.tier = tier
        self.commands: set[ObservedCommand] = set()
        self.tokens: dict[int, dict[str, int]] = {}

    async def poll(self) -> None:
        """Note the commands and tokens of every sidecar that answers."""
        self.tokens = {}
        for number in list(self.tier.processes):
            await self.poll_member(number)

    async def poll_member(self, number: int) -> None:
        """Note the commands and tokens of one sidecar, if it answers."""
        view = await lease_view(self.tier, number)
        if view is None:
            return
        self.tokens[number] = view["held"]
        self.commands |= {
            ObservedCommand(issued_us, lease, token, number) for issued_us, lease, token, _ in view["acts"]
        }

    async def holder(self, lease: str, except_member: int | None = None) -> int | None:
        """A sidecar that holds the lease."""
        await self.poll()
        holders = (number for number, tokens in self.tokens.items() if tokens[lease])
        return next((number for number in holders if number != except_member), None)

    async def wait_for_holder(self, lease: str, except_member: int | None = None) -> int:
        """Wait until a sidecar holds the lease."""
        found: list[int] = []

        async def is_held() -> bool:
            holder = await self.holder(lease, except_member)
            if holder is not None:
                found.append(holder)
            return holder is not None

        await self.tier.wait_until(is_held)
        return found[0]

    async def wait_for_command(self, member: int) -> None:
        """Wait for a new command of this sidecar."""
        await self.poll()
        before = self._commands_of(member)

        async def has_new_command() -> bool:
            await self.poll()
            return self._commands_of(member) > before

        await self.tier.wait_until(has_new_command)

    def _commands_of(self, member: int) -> set[ObservedCommand]:
        return {command for command in self.commands if command.member == member}

    def fencing_violation_count(self) -> int:
        """Commands under a token older than one used before, or under one token of two holders."""
        count = 0
        for lease in {command.lease for command in self.commands}:
            ordered = sorted(command for command in self.commands if command.lease == lease)
            count += sum(later.token < earlier.token for earlier, later in pairwise(ordered))
            for token in {command.token for command in ordered}:
                count += len({command.member for command in ordered if command.token == token}) > 1
        return count

"""UDP transport of the membership protocol: the socket and the timer, without decisions.

Datagrams are accepted only from the addresses in `peers`, from which every sidecar sends (PROTOCOL);
others are dropped and counted.  A member's number is its index in `peers`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any, cast

from sidecar_balancer.addresses import Address
from sidecar_balancer.lease.fencing import CommandVerb
from sidecar_balancer.lease.manager import LeaseManager, TierLease
from sidecar_balancer.lease.protocol import LeaseTiming
from sidecar_balancer.membership.counters import DropReason
from sidecar_balancer.membership.lease_channel import CommandListener, LeaseChannel
from sidecar_balancer.membership.messages import Datagram, VerdictScope, WireVerdict
from sidecar_balancer.membership.settings import MembershipSettings
from sidecar_balancer.membership.swim import Swim

_TICK_WAIT_MIN_US = 1000


def monotonic_us() -> int:
    """Return the time of the process's monotonic clock in µs."""
    return time.monotonic_ns() // 1000


class MembershipTransport(asyncio.DatagramProtocol):
    """Transport of member `member` of `peers` on address `listen`; `lease_timing` None: without leases."""

    def __init__(
        self,
        listen: Address,
        peers: list[Address],
        member: int,
        seed: int,
        settings: MembershipSettings,
        lease_timing: LeaseTiming | None = None,
        clock: Callable[[], int] = monotonic_us,
    ) -> None:
        self.swim = Swim(member, len(peers), seed, settings, clock())
        self.leases: LeaseManager | None = None
        self._lease_channel: LeaseChannel | None = None
        if lease_timing is not None:
            self.leases = LeaseManager(member, len(peers), seed, lease_timing, clock())
            self._lease_channel = LeaseChannel(self.leases)
            self.swim.lease_handler = self._lease_channel
        self._listen, self._peers, self._clock = listen, peers, clock
        self._member_by_address = {address: number for number, address in enumerate(peers)}
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    # -- Lifecycle --------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Bind the address and start probing.

        Raises:
            OSError: the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self._listen)
        self._tick()

    def stop(self) -> None:
        """Stop the timer and close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def listen_for_commands(self, listener: CommandListener) -> None:
        """Register the listener for commands of other lease holders; it is not called without leases."""
        if self._lease_channel is not None:
            self._lease_channel.command_listener = listener

    # -- asyncio's datagram protocol --------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the socket's transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Handle a datagram and send the replies."""
        sender = self._member_by_address.get((str(addr[0]), int(addr[1])))
        if sender is None:
            self.swim.counters.dropped[DropReason.ADDRESS] += 1
            return
        self._send(self.swim.receive(self._clock(), sender, data))

    def error_received(self, _exc: Exception) -> None:
        """Count a socket error; it needs no other handling, as datagrams may be lost anyway."""
        self.swim.counters.dropped[DropReason.ERROR] += 1

    # -- Operations at the current time -----------------------------------------------------------------

    def now_us(self) -> int:
        """Return the time in µs of the membership clock: monotonic and local to this process."""
        return self._clock()

    def publish(
        self,
        subject: str,
        verdict: WireVerdict,
        evidence: int,
        ttl_ms: int,
        scope: int = VerdictScope.ALL_CLASSES,
    ) -> None:
        """Publish a verdict of this member (see `Swim.publish`)."""
        self.swim.publish(self._clock(), subject, verdict, evidence, ttl_ms, scope)

    def request_state(self) -> None:
        """Request the state of a few members (see `Swim.request_state`)."""
        self._send(self.swim.request_state())

    def issue_command(self, lease: TierLease, subject: str, verb: CommandVerb) -> bool:
        """Broadcast a fenced command; return False if this member does not hold the lease."""
        if self.leases is None:
            return False
        command = self.leases.issue_command(self._clock(), lease, subject, verb)
        if command is None:
            return False
        self.swim.broadcast_command(command)
        return True

    def lease_token(self, lease: TierLease) -> int:
        """Return the fencing token while this member holds the lease, else 0."""
        return self.leases.token(lease, self._clock()) if self.leases is not None else 0

    # -- Internals --------------------------------------------------------------------------------------

    def _tick(self) -> None:
        now_us = self._clock()
        self._send(self.swim.tick(now_us))
        due_us = self.swim.due_us()
        if self.leases is not None and self._lease_channel is not None:
            updates = self._lease_channel.tick(now_us, self.swim.members.alive())
            self._send(self.swim.send_direct(updates))
            due_us = min(due_us, self.leases.due_us(now_us))
        wait_us = max(due_us - self._clock(), _TICK_WAIT_MIN_US)
        self._timer = asyncio.get_running_loop().call_later(wait_us / 1e6, self._tick)

    def _send(self, datagrams: list[Datagram]) -> None:
        if self._transport is None:
            return
        for target, data in datagrams:
            self._transport.sendto(data, self._peers[target])

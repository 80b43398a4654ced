"""The peer plane on a UDP socket: datagrams in and out, timers; nothing is decided here.

Datagrams are taken only from the addresses in `peers` (PROTOCOL: they come from the sender's address there);
from anywhere else they are dropped and counted.  The member's number is its place in `peers`.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any, TypeVar, cast

from sidecar_balancer.lease.manager import LeaseManager
from sidecar_balancer.lease.protocol import LeaseTiming
from sidecar_balancer.membership import codec
from sidecar_balancer.membership.codec import WireVerdict
from sidecar_balancer.membership.settings import MembershipSettings
from sidecar_balancer.membership.swim import Datagram, Swim

log = logging.getLogger(__name__)

Address = tuple[str, int]
_T = TypeVar("_T")


def monotonic_us() -> int:
    return time.monotonic_ns() // 1000


class MembershipTransport(asyncio.DatagramProtocol):
    """One sidecar's end of the plane: `listen` is its `peer_listen`, `peers` the tier's, `me` its number.

    `terms`: of the leases of the tier's duties; None: there are none.
    """

    def __init__(
        self,
        listen: Address,
        peers: list[Address],
        me: int,
        seed: int,
        tuning: MembershipSettings,
        terms: LeaseTiming | None = None,
        clock: Callable[[], int] = monotonic_us,
    ) -> None:
        self.swim = Swim(me, len(peers), seed, tuning, clock())
        self.leases = LeaseManager(me, len(peers), seed, terms, clock()) if terms is not None else None
        if self.leases is not None:
            self.swim.on_lease = self.leases.receive
        self._listen, self._peers, self._clock = listen, peers, clock
        self._index = {address: number for number, address in enumerate(peers)}
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Bind `listen`; raise OSError where it can't be."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self._listen)
        self._tick()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        sender = self._index.get((str(addr[0]), int(addr[1])))
        if sender is None:
            self.swim.counts.dropped["address"] += 1
            return
        self._post(self.swim.receive(self._clock(), sender, data))

    def error_received(self, exc: Exception) -> None:
        self.swim.counts.dropped["error"] += 1

    def now(self) -> int:
        """The plane's clock, in us: monotonic, of this process alone."""
        return self._clock()

    def publish(
        self, subject: str, verdict: WireVerdict, evidence: int, ttl_ms: int, slot: int = codec.ALL_CLASSES
    ) -> None:
        self.swim.publish(self._clock(), subject, verdict, evidence, ttl_ms, slot)

    def request_state(self) -> None:
        self._post(self.swim.request_state(self._clock()))

    def issue_command(self, duty: int, subject: str, verb: int) -> bool:
        """Do an act of a duty and tell the tier; False where the duty is not held."""
        act = (
            self.leases.issue_command(self._clock(), duty, subject, verb) if self.leases is not None else None
        )
        if act is not None:
            self.swim.spread_act(act)
        return act is not None

    def lease_token(self, duty: int) -> int:
        return self.leases.holds(duty, self._clock()) if self.leases is not None else 0

    def with_core(self, use: Callable[[Swim, int], _T]) -> _T:
        """Let `use` read or change the core at this moment of the clock (snapshots)."""
        return use(self.swim, self._clock())

    def describe(self) -> dict[str, Any]:
        """What the plane holds, for the operators: members, counts, verdicts."""
        swim, now = self.swim, self._clock()
        counts = swim.counts
        return {
            "me": swim.me,
            "incarnation": swim.incarnation,
            "health": swim.health,
            "members": {str(n): [s.name.lower(), inc] for n, (s, inc) in swim.view().items()},
            "sent": [counts.sent, counts.sent_bytes],
            "received": [counts.received, counts.received_bytes],
            "dropped": dict(counts.dropped),
            "verdicts": [
                [u.origin, u.server, codec.VERDICT_NAMES[u.verdict], u.slot, ttl]
                for u, ttl in swim.verdicts.live(now)
            ],
            "evicted": swim.verdicts.evicted,
        }

    def _tick(self) -> None:
        now = self._clock()
        self._post(self.swim.tick(now))
        due = self.swim.due_us()
        if self.leases is not None:
            self._post(self.swim.direct(self.leases.tick(now, self.swim.alive())))
            due = min(due, self.leases.due_us(now))
        wait_s = max(due - self._clock(), 1000) / 1e6
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._tick)

    def _post(self, out: list[Datagram]) -> None:
        if self._transport is None:
            return
        for target, data in out:
            self._transport.sendto(data, self._peers[target])

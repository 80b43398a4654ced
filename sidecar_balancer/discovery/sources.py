"""Selection of the source of the next poll: the registry alone, or one of several relays in front of it.

Sans-IO: the discovery client records how its polls ended.  Relays are ranked by zone and by rendezvous
hashing, so that sidecars spread over them, and only the sidecars of a failed relay move to another.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from sidecar_balancer.addresses import Address

PREFERRED_RETURN_RANGE_S = (20.0, 60.0)  # range of the random delay before the return to the preferred relay
STALE_AFTER_S = 2.5  # a relay that last heard from the registry longer ago is replaced by a fresher one
STALE_ROUND_INTERVAL_S = 2.0  # all relays are polled this often while all are stale (registry likely down)


@dataclass(frozen=True, slots=True)
class RelayAddress:
    """A configured relay and its zone ("": not configured)."""

    address: Address
    zone: str = ""


def rank_relays(relays: Sequence[RelayAddress], identity: str, zone: str) -> list[Address]:
    """Rank relays for one sidecar: those of its own zone first, each group by rendezvous hashing."""
    import hashlib  # loads OpenSSL, 4 MB that a sidecar without relays need not hold

    def rank(relay: RelayAddress) -> tuple[bool, bytes]:
        key = "{}|{}:{}".format(identity, *relay.address)
        return (not zone or relay.zone != zone, hashlib.blake2b(key.encode(), digest_size=8).digest())

    return [relay.address for relay in sorted(relays, key=rank)]


class _StaleSource(NamedTuple):
    """A source whose list is stale."""

    position: int
    as_of: float


class SourceSelector:
    """Selects the source of the next poll.

    Times are in seconds, on a clock of the caller's choice.
    """

    def __init__(
        self, addresses: Sequence[Address], random_fraction: Callable[[], float] = random.random
    ) -> None:
        """`addresses` are in order of preference; `random_fraction` returns a number from 0 to 1."""
        if not addresses:
            raise ValueError("expected at least one source")
        self.addresses = list(addresses)
        self._random_fraction = random_fraction
        self._current_index = 0
        self._unusable_count = 0  # consecutive sources that failed or were stale
        self._freshest_stale: _StaleSource | None = None
        self._return_at = 0.0  # when to return to the preferred source while another one is used
        self._last_stale_round_at = -math.inf  # when all sources were last found to be stale

    @property
    def current(self) -> Address:
        """The address of the next poll."""
        return self.addresses[self._current_index]

    def record_failure(self, now: float) -> bool:
        """Record a failed poll; return whether to poll another source at once."""
        return self._advance(now)

    def record_response(self, now: float, as_of: float, is_fresh: bool) -> bool:
        """Record a response with a list current at `as_of`; return whether to poll another source at once."""
        if is_fresh:
            self._unusable_count, self._freshest_stale = 0, None
            return False
        if now < self._last_stale_round_at + STALE_ROUND_INTERVAL_S:
            return False
        if self._freshest_stale is None or as_of > self._freshest_stale.as_of:
            self._freshest_stale = _StaleSource(self._current_index, as_of)
        advanced = self._advance(now)
        if not advanced:
            self._last_stale_round_at = now
        return advanced

    def return_to_preferred(self, now: float) -> bool:
        """Select the preferred source again once its time has come; return whether the source has changed."""
        if self._current_index == 0 or now < self._return_at or self._unusable_count:
            return False
        self._current_index = 0
        return True

    def _advance(self, now: float) -> bool:
        """Select the next source; return whether to poll it at once.

        After a full round without a fresh response, select the freshest source that responded, if any did.
        """
        self._unusable_count += 1
        next_index = (self._current_index + 1) % len(self.addresses)
        if self._unusable_count < len(self.addresses):
            self._select(next_index, now)
            return True
        self._unusable_count = 0
        if self._freshest_stale is not None:
            next_index = self._freshest_stale.position
            self._freshest_stale = None
        self._select(next_index, now)
        return False

    def _select(self, index: int, now: float) -> None:
        if self._current_index == 0 and index != 0:
            earliest_s, latest_s = PREFERRED_RETURN_RANGE_S
            self._return_at = now + earliest_s + (latest_s - earliest_s) * self._random_fraction()
        self._current_index = index

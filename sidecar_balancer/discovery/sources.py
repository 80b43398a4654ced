"""Which discovery service is asked: the registry alone, or one of several relays in front of it.

Sans-IO: the discovery client tells what came of its calls, and hears where to call next.  Relays are ordered
by zone and by rendezvous hashing, so that sidecars spread over them, and only those of a lost relay move.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from sidecar_balancer.addresses import Address

RETURN_AFTER_S = (20.0, 60.0)  # a sidecar tries its preferred relay again after a time drawn from this range
STALE_AFTER_S = 2.5  # a relay that last heard of the registry longer ago is left for a fresher one
ROUND_EVERY_S = 2.0  # where all are stale, how often all are asked: most likely the registry is down


@dataclass(frozen=True, slots=True)
class RelayAddress:
    """A relay of the configuration, and the zone that it stands in ("": not told)."""

    address: Address
    zone: str = ""


def rank_relays(relays: Sequence[RelayAddress], identity: str, zone: str) -> list[Address]:
    """Order relays for one sidecar: those of its own zone first, each part by rendezvous hashing."""

    def rank(relay: RelayAddress) -> tuple[bool, bytes]:
        key = "{}|{}:{}".format(identity, *relay.address)
        return (not zone or relay.zone != zone, hashlib.blake2b(key.encode(), digest_size=8).digest())

    return [each.address for each in sorted(relays, key=rank)]


class SourceSelector:
    """Picks the source of the next call.  `addresses` are in order of preference; times are in seconds."""

    def __init__(self, addresses: Sequence[Address], chance: Callable[[], float] = random.random) -> None:
        if not addresses:
            raise ValueError("at least one source is needed")
        self.addresses = list(addresses)
        self._chance = chance
        self._at = 0
        self._tried = 0  # sources in a row that failed or were stale
        self._freshest: tuple[float, int] | None = None  # of the stale ones: as of when, and which
        self._return_at = 0.0  # when the preferred source is tried again, while another is used
        self._round_at = -math.inf  # when all were found stale last

    @property
    def current(self) -> Address:
        """The address to call next."""
        return self.addresses[self._at]

    def failed(self, now: float) -> bool:
        """Note a failed call; return whether another source is to be called at once."""
        return self._move_on(now)

    def answered(self, now: float, as_of: float, fresh: bool) -> bool:
        """Note an answer that tells the list as of a time; return whether to call another source at once."""
        if fresh:
            self._tried, self._freshest = 0, None
            return False
        if now < self._round_at + ROUND_EVERY_S:
            return False
        if self._freshest is None or as_of > self._freshest[0]:
            self._freshest = (as_of, self._at)
        moved = self._move_on(now)
        if not moved:
            self._round_at = now
        return moved

    def _move_on(self, now: float) -> bool:
        """Turn to the next source; after a whole round, to the freshest that answered, if any did."""
        self._tried += 1
        if self._tried < len(self.addresses):
            self._turn_to((self._at + 1) % len(self.addresses), now)
            return True
        self._tried = 0
        if self._freshest is None:
            self._turn_to((self._at + 1) % len(self.addresses), now)
            return False
        known, self._freshest = self._freshest, None
        self._turn_to(known[1], now)
        return False

    def _turn_to(self, at: int, now: float) -> None:
        if self._at == 0 and at != 0:
            least, most = RETURN_AFTER_S
            self._return_at = now + least + (most - least) * self._chance()
        self._at = at

    def try_preferred(self, now: float) -> bool:
        """Return to the preferred source where that is due; return whether the source has changed."""
        if self._at == 0 or now < self._return_at or self._tried:
            return False
        self._at = 0
        return True

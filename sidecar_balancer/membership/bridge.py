"""Between the module and the peer plane: what the balancer holds goes out, what peers hold comes in.

Nothing is weighed here: the module hears `VerdictsHeard`, `TierAsked`, `ProbingHeard`, `ZoneBack` and
decides.  What this sidecar holds is told at once, and again every third of its life while it holds.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any

from sidecar_balancer.lease.manager import CommandVerb, TierLease
from sidecar_balancer.membership import codec
from sidecar_balancer.membership.codec import ActUpdate, WireVerdict
from sidecar_balancer.membership.swim import TierVerdict
from sidecar_balancer.membership.transport import MembershipTransport
from sidecar_balancer.policy.actions import PublishServerVerdict, PublishZoneVerdict
from sidecar_balancer.policy.events import (
    Event,
    LearnedServer,
    PeerServerVerdict,
    PeerVerdictsReceived,
    StateRestored,
    TierDemandReceived,
    ZoneHealthCheckerChanged,
    ZoneRecovered,
)
from sidecar_balancer.policy.types import ServerVerdict, ZoneVerdict

log = logging.getLogger(__name__)

LIFE_MS = 15_000  # of a verdict told to peers; it is told again every third of that
HELD_MOST = 256  # verdicts of this sidecar that are told at once; more are not told, and counted
_STEP_S = 0.1  # how often what peers hold is handed to the module
_BIND_AGAIN_S = 1.0  # between tries to bind peer_listen
_WARM_STEP_S = 0.005  # how often a start looks whether its peers have told all
_FACTS_MOST = 256  # servers of which a peer that starts is told the pace
_ASKED_EVERY = 10  # steps between tellings of what this sidecar is asked
_RENEW_EVERY = int(LIFE_MS / 3000 / _STEP_S)

_WIRE_VERDICTS = {
    ServerVerdict.EJECTED: WireVerdict.EJECTED,
    ServerVerdict.SLOW: WireVerdict.SLOW,
    ServerVerdict.REJECTING: WireVerdict.REJECTING,
    ServerVerdict.FAILING: WireVerdict.FAILING,
    ServerVerdict.CLEARED: WireVerdict.CLEARED,
}
_SERVER_VERDICTS = {number: verdict for verdict, number in _WIRE_VERDICTS.items()}

Slot = tuple[str, int]  # subject and slot of a verdict


class MembershipBridge:
    """One sidecar's link: `hear` takes events for the module, `asked` gives requests a second by tenant."""

    def __init__(
        self,
        transport: MembershipTransport,
        classes: list[str],
        hear: Callable[[Event], None],
        asked: Callable[[], Mapping[str, float]],
        paces: Callable[[], Mapping[str, float]],
        probe_us: int,
    ) -> None:
        self.transport = transport
        self._classes, self._hear = classes, hear
        self._asked, self._paces = asked, paces
        self._held: dict[Slot, tuple[WireVerdict, int]] = {}
        self._untold = 0
        self._banned: frozenset[str] = frozenset()
        self._heard: list[TierVerdict] = []
        self._tier: dict[str, float] = {}
        self._probing: bool | None = None
        self._steps = 0
        self._probe_every = max(round(probe_us / 1e6 / _STEP_S), 1)
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Future[None] | None = None
        transport.swim.on_act = self._on_act

    # -- Life -------------------------------------------------------------------------------------------

    async def start(self, bound: Callable[[], None], tries: int = 0) -> None:
        """Bind the plane, then call `bound`; while the process before this one in an upgrade holds the port,
        try each second."""
        try:
            await self.transport.start()
        except OSError as fault:
            if tries == 0:
                log.warning("the peer plane can't bind yet, it is tried each second: %s", fault)
            self._timer = asyncio.get_running_loop().call_later(_BIND_AGAIN_S, self._again, bound, tries + 1)
            return
        log.info("the peer plane is bound, member %d of %d", self.transport.swim.me, self.transport.swim.size)
        bound()
        self._step()

    def _again(self, bound: Callable[[], None], tries: int) -> None:
        self._task = asyncio.ensure_future(self.start(bound, tries))  # held: tasks are weak

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.transport.stop()

    async def fetch_initial_state(self, stop: asyncio.Event, limit_s: float) -> StateRestored:
        """Ask peers for all that they hold and wait until one has told all, `limit_s` at most.

        Their verdicts go to the module at once.  What they learned of servers' paces counts half: it is
        theirs.
        """
        loop = asyncio.get_running_loop()
        began, asked = loop.time(), 0
        while not self.transport.swim.state_complete and not stop.is_set():
            waited = loop.time() - began
            if waited >= limit_s:
                break
            if waited >= asked * limit_s / 3:  # datagrams get lost
                asked += 1
                self.transport.request_state()
            await asyncio.sleep(min(_WARM_STEP_S, limit_s))
        swim = self.transport.swim
        told = "all that a peer held" if swim.state_complete else "no whole answer"
        log.info("warm start: %s in %.0f ms", told, 1000 * (loop.time() - began))
        self.hear_verdicts()
        paces = {name: 1.0 + (pace / 100 - 1.0) / 2 for name, pace in swim.received_latencies.items()}
        out = self.transport.with_core(lambda core, now: core.tier_ejected(now))
        names = sorted({*paces, *out})
        return StateRestored({name: LearnedServer(paces.get(name, 1.0), int(name in out)) for name in names})

    # -- Out: what this sidecar holds -------------------------------------------------------------------

    def publish_server_verdict(self, action: PublishServerVerdict) -> None:
        """Publish what the balancer holds against a server, for one class or all."""
        slot = codec.ALL_CLASSES
        if action.service_class is not None:
            if action.service_class not in self._classes:
                return
            slot = self._classes.index(action.service_class)
        self._publish(action.server, slot, _WIRE_VERDICTS[action.verdict], action.evidence)

    def publish_zone_verdict(self, action: PublishZoneVerdict) -> None:
        """Publish that the balancer has evacuated a zone, or uses it again."""
        if action.verdict is ZoneVerdict.EVACUATED:
            self._publish(action.zone, codec.ZONE, WireVerdict.ZONE_EVACUATED, action.evidence)
            return
        self.transport.issue_command(
            TierLease.ZONES, action.zone, CommandVerb.ZONE_RECOVERED
        )  # to all, where this sidecar probes for them
        if self._held.pop((action.zone, codec.ZONE), None) is not None:
            self.transport.publish(action.zone, WireVerdict.CLEARED, 1, LIFE_MS, codec.ZONE)

    def _publish(self, subject: str, slot: int, verdict: WireVerdict, evidence: int) -> None:
        key = (subject, slot)
        if verdict is WireVerdict.CLEARED:
            self._held.pop(key, None)
        elif len(self._held) >= HELD_MOST and key not in self._held:
            self._untold += 1
            return
        else:
            self._held[key] = (verdict, evidence)
        self.transport.publish(subject, verdict, evidence, LIFE_MS, slot)

    def set_disabled_servers(self, servers: frozenset[str]) -> None:
        """The operators' bans at this sidecar: told to the tier, and their end too."""
        for server in servers - self._banned:
            self.transport.publish(server, WireVerdict.DISABLED, 1, LIFE_MS, codec.BAN)
        for server in self._banned - servers:
            self.transport.publish(server, WireVerdict.CLEARED, 1, LIFE_MS, codec.BAN)
        self._banned = servers

    def _renew(self) -> None:
        for (subject, slot), (verdict, evidence) in self._held.items():
            self.transport.publish(subject, verdict, evidence, LIFE_MS, slot)
        for server in self._banned:
            self.transport.publish(server, WireVerdict.DISABLED, 1, LIFE_MS, codec.BAN)

    def _tell_asked(self) -> None:
        for tenant, per_s in self._asked().items():
            if tenant and len(tenant.encode()) <= codec.SERVER_NAME_MOST:
                hundredths = min(int(per_s * 100), codec.EVIDENCE_MOST)
                self.transport.publish(tenant, WireVerdict.DEMAND, hundredths, LIFE_MS // 3, codec.ASKED)

    # -- In: what peers hold ----------------------------------------------------------------------------

    def disabled_servers(self) -> frozenset[str]:
        """The servers that the tier's operators have left out."""
        return self.transport.with_core(lambda swim, now: swim.tier_disabled(now))

    def _step(self) -> None:
        self._steps += 1
        if self._steps % _RENEW_EVERY == 0:
            self._renew()
        if self._steps % _ASKED_EVERY == 0:
            self._tell_asked()
            paces = list(self._paces().items())[:_FACTS_MOST]
            bounded = ((name, max(1, min(int(pace * 100), codec.PACE_MOST))) for name, pace in paces)
            self.transport.swim.own_latencies = dict(bounded)
            self._hear_asked()
        self.hear_verdicts()
        self._hear_probing()
        self._timer = asyncio.get_running_loop().call_later(_STEP_S, self._step)

    def hear_verdicts(self) -> None:
        held = self.transport.with_core(lambda swim, now: swim.tier_verdicts(now, len(self._classes)))
        if held != self._heard:
            self._heard = held
            self._hear(self._peer_verdicts(held))

    def _peer_verdicts(self, held: list[TierVerdict]) -> PeerVerdictsReceived:
        servers = [
            PeerServerVerdict(
                server=each.subject,
                verdict=_SERVER_VERDICTS[each.verdict],
                service_class=self._classes[each.slot] if each.slot >= 0 else None,
                peers=each.members,
            )
            for each in held
            if each.verdict in _SERVER_VERDICTS
        ]
        zones = {each.subject: each.members for each in held if each.verdict is WireVerdict.ZONE_EVACUATED}
        return PeerVerdictsReceived(servers, zones)

    def _hear_asked(self) -> None:
        asked = self.transport.with_core(lambda swim, now: swim.tier_demand(now))
        if asked != self._tier:
            self._tier = asked
            self._hear(TierDemandReceived(asked))

    def _hear_probing(self) -> None:
        if self.transport.leases is None:
            return
        mine = self.transport.lease_token(TierLease.ZONES) > 0
        if mine != self._probing or (mine and self._steps % self._probe_every == 0):
            if mine != self._probing:
                log.info("zones are probed %s", "by this sidecar, for the tier" if mine else "by another")
            self._probing = mine
            self._hear(ZoneHealthCheckerChanged(mine))

    def _on_act(self, _: int, act: ActUpdate) -> bool:
        if self.transport.leases is None or not self.transport.leases.accept_command(act):
            return False
        if act.duty == TierLease.ZONES and act.verb == CommandVerb.ZONE_RECOVERED:
            self._hear(ZoneRecovered(act.subject))
        return True

    def describe(self) -> dict[str, Any]:
        """For the operators: the plane's view, and how much of what this sidecar holds is told."""
        told = {
            f"{subject} {slot}": codec.VERDICT_NAMES[verdict]
            for (subject, slot), (verdict, _) in self._held.items()
        }
        return self.transport.describe() | {"told": told, "untold": self._untold}

    def describe_leases(self) -> dict[str, Any] | None:
        return (
            self.transport.leases.describe(self.transport.now())
            if self.transport.leases is not None
            else None
        )

"""All decisions of a sidecar balancer, by best-of-k with redraw.

Why its guards are there: docs/decisions.md.

Per request: draw k random distinct ready servers and send to the one with the fewest of this balancer's own
requests in flight; on a full answer draw again, wider.  Every attempt leaves through `_send` and every final
answer through `_finish`; those two enforce the rules, whatever the code around them decides.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from sidecar_balancer.policy.actions import (
    Action,
    ApplyDisabledServers,
    CancelAttempt,
    Fail,
    HealthCheck,
    LogEvent,
    PublishServerVerdict,
    PublishZoneVerdict,
    Reject,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from sidecar_balancer.policy.endpoint import Attempt, Flow, Server
from sidecar_balancer.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    DisabledServersChanged,
    EndpointListReceived,
    Event,
    HealthCheckEnded,
    ListedServer,
    PeerVerdictsReceived,
    RequestBodyEnded,
    RequestReceived,
    ResponseStarted,
    ServerOverrideRequested,
    StateRestored,
    TierDemandReceived,
    TimerFired,
    ZoneHealthCheckerChanged,
    ZoneOverridesChanged,
    ZoneRecovered,
)
from sidecar_balancer.policy.locality import Zone, Zones
from sidecar_balancer.policy.rates import Rate
from sidecar_balancer.policy.settings import DiscoveryMode, Idempotency, ServiceClass, Settings
from sidecar_balancer.policy.types import ListKind, Outcome, ServerState, ServerVerdict, ZoneVerdict

DRAWN = 4  # k: counts are mostly small here, where two looks find too little
REACH = 4.0  # a balancer at rest draws from this many servers: a choice, yet few enough to know them
REACH_PER_BUSY = 1.0  # and from one more for each request in flight: as many again may be empty
BEAT_AIMS = 0.1  # while anything is out, a timer falls due this often, so that an own stall is noticed
STALL_BEATS = 1.0  # a timer later than this many beats tells of a stall
TICKS_EARLY = 2  # a final answer leaves this many ticks before the client's time is up
COLD_SHARE = 0.5  # part of the pushing-over load at which a cold budget fills: its true size is not told
COLD_BURST = 0.18  # part of that load that may come at once
RATE_SPANS = 2.0  # rates are averaged over this many fall times
OPEN_UNTIL = 2**62  # no time is up while a body is still coming: how slowly it may come is net/'s to bound
LEFT_KNOWN = 4096  # names of servers that left are remembered: the operators may still call for them
ASK_AT_ONCE = 8  # so many balancers may call discovery at once: it answers them in the time of one call
ASK_SLOT = 0.01  # for each further one, calls spread out by this part of the time allowed without asking
ASK_AGAIN = 0.05  # first wait before asking discovery again, of that time too
ASK_AGAIN_MOST = 0.25  # and the longest, in small groups
ASK_WAIT_MOST = 3_000_000  # us, in any: changes count as told 6 s after they can be had, a call takes 2 s
REMOTE_LEAST = 0.25  # odds of a server in another zone while the own zone is as quick
REMOTE_EVEN = 0.3  # the own zone this far behind the others' pace, all zones are drawn alike
EXTRA_PER_REQUEST = 0.2  # further attempts after failures, for each first attempt: no retry storms
EXTRA_SAVED = 50.0  # first attempts whose allowance may be saved up
STRIKES = 2  # failures in a row, none answered between, that eject a server
EJECT_AIMS = 2.0  # first ejection lasts this many of the longest aim; it doubles with each failed trial
EJECT_AIMS_MOST = 16.0  # and never lasts longer: a server that came back is found again
SILENT_MOST = 0.34  # no more than this share is ejected for silence alone: more is overload, not sickness
EJECTED_MOST = 0.6  # never more than this share of the list is ejected: the rest would drown
PATIENCE = 2.5  # usual times (at this server's pace) after which an attempt is overdue
PATIENCE_AIMS = 0.1  # but never less than this part of the aim: short times are all jitter
QUIET_PEERS = 4  # answers from others, since the overdue attempt left, that make its server's silence its own
SILENCE = 2.0  # overdue again by this factor, an unanswering server is taken for silent
SILENT_AIMS = 0.5  # but never before this part of the aim
GHOST_LIFE = 1.0  # an attempt given up on counts as in flight for as long again as it was waited for
HEAVY_POWER = 3.0  # of pace, in the odds for a request of four times the mean cost or more
PACE_STEP = 0.1  # a server's pace follows its last ten answers or so, or fewer where few are in flight
PACE_CLIP = 4.0  # one answer counts for at most this many usual ones: heavy requests say little of a server
NORM_STEP = 0.02  # the usual time and cost of a class follow its last fifty requests or so
UNSEEN_AIMS = 0.3  # the usual time before any answer, in aims
AIM_SPENT = 0.3  # the typical answer may take this part of its aim; beyond that the fleet is overloaded
AIM_SPENT_FEW = 0.4  # or this, where so few are in flight that much of the median is chance
FLOOR_ROOM = 1.2  # but never less than this many times what it takes when the fleet is idle
AIM_SPENT_MOST = 0.5  # and never more than this part of the aim, or overload would pass for the usual
SPENT_MOST = 1.0  # the median is not followed past the aim: from there it must find back
LEAST_WINDOW = 0.1  # a trickle passes at any time, so that relief is seen
MANY = 8.0  # fewer own requests in flight than this are chance for a good part
STRETCH_MOST = 4.0  # so the fewer, the longer loads are averaged and the larger the steps, up to this
SPARSE_AIMS = 4.0  # where few requests come, overload is judged by counts over this many of the longest aim
SPARSE_ROOM = 1.2  # and this many times what was answered in time is let in
SPARSE_PRIOR = 2.0  # requests taken as answered in time beforehand: fewer are chance
LATE_ALLOWED = 0.05  # nor is a fleet overloaded that answers all but this part in time
LATE_STEP = 0.02  # of the last fifty answers or so
FLOOR_CREEP = 0.02  # the idle time may rise by this part of the median's step at each answer
FLOOR_CREEP_PRESSED = 0.002  # and hardly while refusing
MEDIAN_STEP = 0.04  # step of the running median: some 25 answers turn it round
LOST_SPENT = 2.0  # what a full answer counts as, in aims: it would have been late by far
WINDOW_AIMS = 0.5  # at twice the level the window shrinks e-fold in this many of the longest aim
YOUNG_AIMS = 1.0  # how many of the longest aim must have passed before the window is first sized
MIX_AIMS = 4.0  # what is asked by class and tenant is averaged over this many of the longest aim
DOUBT = 0.5  # of a server's odds, for each peer that holds something against it
DOUBTERS_MOST = 2  # more peers change nothing: a few that lie do no more than this
SLOW_PACE = 2.5  # peers are told of servers that take this many usual times
SLOW_OVER = 1.5  # until they take no more than this
FREE = 0.5  # up to this part of the window all are let in, and the window does not grow
STEEP = 4.0  # pressure at a full window: of the typical requests one in fifty is let in
SLANT = 2.0  # the least worthy feel this many times the pressure, the most worthy almost none


@dataclass(slots=True, eq=False)
class Request:
    """A request taken; it is kept until it is answered and its last attempt has ended."""

    ident: int
    kind: ServiceClass
    answer_by: int  # OPEN_UNTIL while its body is still coming
    cost: float  # relative to the mean of its class
    flow: Flow
    size: int  # cost by powers of two
    attempts: list[Attempt] = field(default_factory=list)
    tried: list[Server] = field(default_factory=list)  # servers that failed it, full ones included
    said_full: int = 0
    answered: bool = False
    spent: bool = False  # its body is no longer held whole: it can't be sent again

    def is_out(self) -> bool:
        """Whether an attempt has not ended yet."""
        return any(each.pending for each in self.attempts)


class Balancer:
    """The decisions of one instance.  Feed it events in order; carry out the actions it returns in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._random = random.Random(seed)
        self._stagger = random.Random(seed + 1)  # its own stream: when to begin must not move the draws
        self._classes = {each.name: each for each in settings.classes}
        self._tenants = {each.name: each for each in settings.tenants}
        self._all_shares = sum(each.share for each in settings.tenants) or 1.0
        self._longest_aim = max(each.latency_objective_us for each in settings.classes)
        self._now = 0
        self.actions: list[Action] = []
        self.servers: dict[str, Server] = {}  # those listed, and those gone of which something is out
        self._excluded = frozenset[str]()  # what the operators have left out, listed or not
        self._back: dict[Server, None] = {}  # servers back from their exclusion and not used since
        self._left: dict[str, None] = {}  # names that were listed once, the last to leave at the end
        self._leaving: dict[Server, None] = {}  # gone, but something is out or the operators hold on to it
        self.zones = Zones(settings.locality, settings.zone, self._longest_aim, settings.rules.slow_start_us)
        self.ready = self.zones.ready  # in this balancer's own order
        self._doubted = False  # whether peers hold anything against any server
        self._tier_asked: Mapping[str, float] = {}  # of the other balancers, by tenant, a second
        self._requests: dict[int, Request] = {}
        full_proves = () if settings.rules.late_shedding else (Outcome.REJECTED,)
        self._proves_unrun = (Outcome.CONNECT_FAILED, Outcome.UNSENT, *full_proves)
        self._agenda: list[tuple[int, int, int, int]] = []  # due, order, request or _ASK, attempt or _WHOLE
        self._agenda_order = 0
        self._timer_due: int | None = None
        self._beat = max(
            int(BEAT_AIMS * min(each.latency_objective_us for each in settings.classes)), settings.tick_us
        )
        self._beat_due = 0  # when the next beat falls due, while anything is out
        self._back_at = -1  # when this balancer last came back from a stall of its own
        self._absent_us = 0  # how long it has stalled, over all its stalls
        self._begun = -1  # when the first event came
        self._failed_calls = self._silent_calls = 0  # in a row
        self._ask_due: int | None = None  # when discovery is asked next; None while the list is followed
        self._pending = 0  # attempts out
        self._stuck = 0  # of these, at ejected servers
        self._ghosts: list[int] = []  # when each attempt given up on stops counting, soonest first
        self._ejected = self.zones.ejected
        self._remote = 1.0  # odds of a server in another zone, as of _remote_at
        self.bearable = 0.0  # what a warm server of mean size serves for this balancer, as of _bearable_at
        self._bearable_at = self._remote_at = -1
        self._answers = 0  # answers so far, from all servers
        self._extra = EXTRA_PER_REQUEST * EXTRA_SAVED / 2
        self._longest_try: dict[str, int] = {}  # the most time left that a request of a class came with
        self._mean_cost: dict[str, float] = {}
        self._arrivals = Rate(RATE_SPANS * settings.rules.overload_window_us)
        self._served_warm = Rate(RATE_SPANS * settings.rules.overload_window_us)
        self.norms: dict[tuple[str, int], float] = {}  # usual time of a class and size, over all servers
        self._spent = 0.0  # running median of the part of its aim that an answer takes
        self._late = 0.0  # part of the answers that come after their aim
        self._floor: float | None = None  # the least that median has been of late
        self._window = math.inf  # how many own requests in flight the fleet bears in time
        self._served_aims = Rate(self._longest_aim)  # time allowed to what was answered, per time
        span = SPARSE_AIMS * self._longest_aim
        self._in_time, self._too_late, self._shed = Rate(span), Rate(span), Rate(span)
        self._bound = False  # whether the window refused anything since it was last sized
        self._mean_load = 0.0  # own requests in flight, averaged
        self._load_at = self._sized_at = 0
        self.mix: dict[Flow, Rate] = {}  # what is asked, by class and tenant
        self._handlers: dict[type[Any], Callable[[Any], None]] = {  # by the kind of event
            AttemptEnded: self._attempt_ended,
            RequestReceived: self._request_arrived,
            TimerFired: lambda _: self._timer_fired(),
            EndpointListReceived: self._servers_listed,
            ClientDisconnected: self._request_gone,
            ResponseStarted: self._answer_started,
            RequestBodyEnded: self._body_ended,
            ServerOverrideRequested: self._exclusion_asked,
            DisabledServersChanged: lambda event: self._exclude(frozenset(event.servers)),
            PeerVerdictsReceived: self._verdicts_heard,
            TierDemandReceived: lambda event: setattr(self, "_tier_asked", event.per_s),
            ZoneOverridesChanged: lambda event: self.zones.ordered(self._now, dict(event.overrides)),
            ZoneHealthCheckerChanged: self._probing_heard,
            ZoneRecovered: lambda event: self._zone_back(self.zones.may_return(self._now, event.zone)),
            HealthCheckEnded: self._probe_ended,
            StateRestored: self._state_restored,
        }

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event at clock time `now`; return what to do, in order."""
        self._now = now
        self.actions = []
        self._follow_load()
        self._notice_stall()
        if self._begun < 0:
            self._begun = now
            self._ask_in(self._ask_spread() * self._stagger.random())
        if handle := self._handlers.get(type(event)):
            handle(event)
        self._keep_beat()
        self._arm_timer()
        return self.actions

    def _notice_stall(self) -> None:
        """Notice that this balancer itself stood still, so as to learn nothing of what came meanwhile."""
        late = self._now - self._beat_due
        if self._beat_due and late > STALL_BEATS * self._beat:
            self._absent_us += late
            self._back_at = self._now
        if late >= 0:
            self._beat_due = 0

    def _keep_beat(self) -> None:
        if self._pending and not self._beat_due:
            self._beat_due = self._now + self._beat
            self._schedule(self._beat_due, _BEAT, _WHOLE)  # when it fires, it has done its work

    def _ask(self) -> None:
        """Follow the list where it must be asked for; a call that is never answered is made again."""
        if self._settings.discovery is DiscoveryMode.POLL:
            self.actions.append(WatchEndpoints(True))
            self._ask_in(ASK_AGAIN_MOST * self._settings.rules.poll_interval_us)

    def _ask_in(self, wait: float) -> None:
        """Ask after this wait, in place of any earlier plan."""
        self._ask_due = self._now + int(wait)
        self._schedule(self._ask_due, _ASK, _WHOLE)

    def _ask_spread(self) -> float:
        """The time over which the calls of the whole group spread out: asked in step, discovery drowns."""
        late = max(self._settings.fleet_size - ASK_AT_ONCE, 0)
        return min(ASK_SLOT * self._settings.rules.poll_interval_us * late, ASK_WAIT_MOST)

    def _ask_again_later(self) -> None:
        """After a failed call: wait twice as long each time, with jitter, up to what the rules allow."""
        allowed, spread = self._settings.rules.poll_interval_us, self._ask_spread()
        longest = min(max(ASK_AGAIN_MOST * allowed, spread), ASK_WAIT_MOST)
        wait = min(max(ASK_AGAIN * allowed, spread) * 2**self._failed_calls, longest)
        self._failed_calls = min(self._failed_calls + 1, 8)
        self._ask_in(wait * (0.25 + 0.75 * self._random.random()))

    def _servers_listed(self, event: EndpointListReceived) -> None:
        if event.kind is ListKind.TIMED_OUT and self._silent_calls < 2:  # its news soon counts as told
            self._silent_calls += 1
            self._ask()
            return
        if event.kind in (ListKind.FAILED, ListKind.TIMED_OUT):
            self._ask_again_later()
            return
        if event.kind is not ListKind.CACHED:
            self._failed_calls, self._silent_calls, self._ask_due = 0, 0, None
        if event.kind not in (ListKind.DELTA, ListKind.SOURCE_CHANGED):
            listed = {line.server for line in event.servers}
            for each in [each for each in self.servers.values() if each.name not in listed]:
                each.state = ServerState.REMOVED
                self._update_ready(each)
        for line in event.servers:
            self._server_listed(line)
        self._forget_gone()

    def _update_ready(self, server: Server) -> None:
        """Bring the lists of servers that may be sent to up to date with one that has changed."""
        zone = server.zone if server.is_ready() else None
        if server.drawn_in != zone:
            self.zones.place(server, zone)
        self._leaving.pop(server, None)
        if server.state is ServerState.REMOVED:
            self._leaving[server] = None

    def _forget_gone(self) -> None:
        """Forget servers that left: each deploy brings new names.  One that comes back is a new server."""
        for each in list(self._leaving):
            if not each.in_flight and not each.excluded:
                del self.servers[each.name], self._leaving[each]
                self._left[each.name] = None
                if len(self._left) > LEFT_KNOWN:
                    del self._left[next(iter(self._left))]
                self._back.pop(each, None)
                for name in list(each.told):
                    self._tell(each, name, ServerVerdict.CLEARED)
                if each in self._ejected:
                    self._ejected.remove(each)

    def _server_listed(self, line: ListedServer) -> None:
        server = self.servers.get(line.server)
        if server is None:
            server = Server(line.server, self._random.random())
            self.servers[line.server] = server
            server.excluded = line.server in self._excluded
        server.zone = line.zone or self._settings.locality.server_zones.get(line.server, "")
        if server.state is ServerState.REMOVED:
            server.pace = 1.0  # until answers tell: this deployment's list is silent on size
        server.state = line.state
        if line.started_at is not None and line.started_at != server.started_at:
            server.started_at = line.started_at
            self._turned_cold(server, line.started_at)
            if server.ejected_until is not None and line.state is ServerState.READY:
                self._readmit(server)  # what the old process did is history
        self._update_ready(server)

    def _exclusion_asked(self, event: ServerOverrideRequested) -> None:
        """Leave a server out or use it again; a name that was never listed is passed over in silence."""
        if event.server in self.servers or event.server in self._left or event.server in self._excluded:
            asked = {event.server}
            self._exclude(self._excluded | asked if event.disabled else self._excluded - asked)

    def _exclude(self, names: frozenset[str]) -> None:
        """Leave out just these servers.  One that is used again was restarted meanwhile: it is cold."""
        back, self._excluded = self._excluded - names, names
        for server in self.servers.values():
            if server.name in names and not server.excluded:
                server.cold_since = None
            server.excluded = server.name in names
            if server.name in back:
                self._back[server] = None
                if not self._is_cold(server):
                    self._turned_cold(server, self._now)
                if server.ejected_until is not None:
                    self._readmit(server)
            self._update_ready(server)
        self._forget_gone()
        self.actions.append(ApplyDisabledServers(names))

    def _request_arrived(self, event: RequestReceived) -> None:
        kind = self._classes.get(event.service_class)
        if kind is None:  # the settings do not name it: the least is assumed of it
            allowed = max(event.remaining_us, 1)
            kind = ServiceClass(event.service_class, allowed, allowed)
        self._arrivals.add(self._now, 1.0)
        self._extra = min(self._extra + EXTRA_PER_REQUEST, EXTRA_PER_REQUEST * EXTRA_SAVED)
        cost = self._relative_cost(kind, event.cost_us)
        flow = (kind.name, event.tenant)
        size = max(-3, min(math.frexp(cost)[1], 4))
        request = Request(event.request, kind, OPEN_UNTIL, cost, flow, size)
        self._requests[event.request] = request
        if not event.body_open:
            self._start_clock(request, event.remaining_us)
        if self._overloaded_for(request) or self._is_stale(kind, event.remaining_us):
            self._finish(request)
        else:
            self._place(request)

    def _is_stale(self, kind: ServiceClass, remaining_us: int) -> bool:
        """Whether a request waited out its aim in an own stall, and a late answer is worth nothing."""
        longest = self._longest_try[kind.name] = max(self._longest_try.get(kind.name, 0), remaining_us)
        return (
            self._now == self._back_at
            and kind.late_priority_weight <= 0.0
            and longest - remaining_us >= kind.latency_objective_us
        )

    def _relative_cost(self, kind: ServiceClass, cost_us: int | None) -> float:
        if not cost_us or cost_us < 0:
            return 1.0
        mean = self._mean_cost.get(kind.name, float(cost_us))
        self._mean_cost[kind.name] = mean + NORM_STEP * (cost_us - mean)
        return cost_us / mean if mean > 0 else 1.0

    def _place(self, request: Request) -> None:
        """Send the request to the best of k, or answer it where nothing is left to try."""
        server = self._choose(request)
        if (server is None or not self._send(request, server)) and not request.is_out():
            self._finish(request)

    def _request_gone(self, event: ClientDisconnected) -> None:
        request = self._requests.get(event.request)
        if request is not None and not request.answered:
            self._close(request)

    def _answer_started(self, event: ResponseStarted) -> None:
        request = self._requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        if (attempt := request.attempts[event.attempt]).pending and not attempt.started:
            attempt.started = True
            self._release(attempt)  # its server has done the work; what is left is to pass it on
            self._call_off(request)

    def _release(self, attempt: Attempt) -> None:
        attempt.server.in_flight -= 1
        self._pending -= 1
        if attempt.server.ejected_until is not None:
            self._stuck -= 1

    def _start_clock(self, request: Request, remaining_us: int) -> None:
        request.answer_by = self._now + remaining_us - TICKS_EARLY * self._settings.tick_us
        self._schedule(request.answer_by, request.ident, _WHOLE)

    def _body_ended(self, event: RequestBodyEnded) -> None:
        """A client's time runs from its request's last byte, and so does a server's."""
        request = self._requests.get(event.request)
        if request is None or request.answered:
            return
        self._start_clock(request, event.remaining_us)
        for each in request.attempts:
            if each.pending:
                each.sent_at, each.absent_before = self._now, self._absent_us
                each.answers_before = self._answers
                self._schedule(self._now + self._patience(request, each.server), request.ident, each.index)

    def _note_time_spent(self, spent: float) -> None:
        """Follow how much of its aim the typical answer takes (a median), and size the window by it."""
        (self._in_time if spent <= 1.0 else self._too_late).add(self._now, 1.0)
        if self._floor is None:
            self._spent = self._floor = min(spent, AIM_SPENT)
        stretch = self._stretch()
        step = stretch * MEDIAN_STEP * (1.0 if spent > self._spent else -1.0)
        self._spent = max(0.0, min(self._spent + step, SPENT_MOST))
        self._late += stretch * LATE_STEP * ((1.0 if spent > 1.0 else 0.0) - self._late)
        load = self._load()
        creep = FLOOR_CREEP if load <= FREE * self._window else FLOOR_CREEP_PRESSED
        self._floor = min(self._floor + creep * MEDIAN_STEP, max(self._spent, MEDIAN_STEP))
        self._size_window(load)

    def _stretch(self) -> float:
        """How much longer than in a busy balancer it takes here to tell a change from chance."""
        return max(1.0, min(MANY / max(self._mean_load, 1e-9), STRETCH_MOST))

    def _follow_load(self) -> None:
        lapse = self._now - self._load_at
        if lapse > 0:
            self._load_at = self._now
            span = self._stretch() * self._longest_aim
            load = self._load()
            self._mean_load = min(self._mean_load, max(load, self._window, 1.0))  # more delays relief
            self._mean_load += (load - self._mean_load) * (1.0 - math.exp(-lapse / span))

    def _size_window(self, load: int) -> None:
        """Shrink or grow the window by how far the typical answer is from the allowed level."""
        if self._now - self._begun < YOUNG_AIMS * self._longest_aim:
            return  # its load is averaged from nothing, and a few late answers would shut it out of the fleet
        stretch = self._stretch()
        lapse = min(self._now - self._sized_at, stretch * self._longest_aim / 4)
        self._sized_at = self._now
        level = min(max(AIM_SPENT, FLOOR_ROOM * (self._floor or 0.0)), AIM_SPENT_MOST)
        # The fewer answers there are, the more of the median is chance: it must be further off to count.
        chance = (stretch - 1.0) / (STRETCH_MOST - 1.0)
        level = max(level, AIM_SPENT + chance * (AIM_SPENT_FEW - AIM_SPENT))
        excess = max(-1.0, min((self._spent - level) / level, 1.0))
        if excess > 0.0 and self._late < LATE_ALLOWED:
            return  # slower than usual, yet in time
        if excess > 0.0:
            self._window = min(self._window, max(load, self._mean_load / FREE))
        elif not self._bound:
            return  # it refused nothing, so nothing says that it is too small
        self._bound = False
        change = math.exp(-excess * lapse / (WINDOW_AIMS * self._longest_aim))
        self._served_aims.over(stretch * self._longest_aim)
        borne = level * self._served_aims.per_us(self._now)
        self._window = max(self._window * change, min(borne, self._window), LEAST_WINDOW)

    def _load(self) -> int:
        """Own requests in flight, with those given up on, at servers that are not ejected."""
        while self._ghosts and self._ghosts[0] <= self._now:
            heapq.heappop(self._ghosts)
        return self._pending - self._stuck + len(self._ghosts)

    def _window_fill(self) -> float:
        """How much of the window is taken; where it holds few, the mean counts, as two at once are chance."""
        certain = min(self._window / MANY, 1.0)
        return (self._mean_load + certain * (self._load() - self._mean_load)) / self._window

    def _overloaded_for(self, request: Request) -> bool:
        """Whether to refuse a new request: likelier under more pressure, and for less worth."""
        if request.flow not in self.mix:
            self.mix[request.flow] = Rate(MIX_AIMS * self._longest_aim)
        self.mix[request.flow].add(self._now, 1.0)
        if max(self._arrivals.per_us(self._now) * self._longest_aim, self._load()) < MANY / 2:
            return self._sheds_by_count(self._standing(request.flow))
        fill = self._window_fill()
        if fill <= FREE:
            return False
        pressure = STEEP * (fill - FREE) / (1.0 - FREE)
        let_in = math.exp(-SLANT * pressure * (1.0 - self._standing(request.flow)))
        if fill < 1.0 and self._random.random() < let_in:
            return False
        self._bound = True
        return True

    def _sheds_by_count(self, standing: float) -> bool:
        """Whether to refuse where few requests come: by counts over a fixed time, so that relief is seen."""
        span = SPARSE_AIMS * self._longest_aim
        in_time = self._in_time.per_us(self._now) * span + SPARSE_PRIOR
        missed = (self._too_late.per_us(self._now) + self._shed.per_us(self._now)) * span
        # What is out tells of a surge before any of it is late; by itself it may be a burst and no more.
        short = 1.0 - SPARSE_ROOM * in_time / (in_time + missed + min(missed, 1.0) * self._load())
        if short > 0.0 and self._random.random() < 2.0 * short * (1.0 - standing):
            self._shed.add(self._now, 1.0)
            return True
        return False

    def _standing(self, mine: Flow) -> float:
        """The part of the traffic that is worth less, counting half of what is worth the same."""
        rates = {flow: rate.per_us(self._now) for flow, rate in self.mix.items()}
        all_asked, asked = sum(rates.values()), dict[str | None, float]()
        for (_, tenant), rate in rates.items():
            asked[tenant] = asked.get(tenant, 0.0) + rate
        worths = {flow: self._worth(flow, asked[flow[1]], all_asked) for flow in rates}
        below = sum(rate for flow, rate in rates.items() if worths[flow] < worths[mine])
        same = sum(rate for flow, rate in rates.items() if worths[flow] == worths[mine])
        return (below + 0.5 * same) / all_asked if all_asked > 0.0 else 0.5

    def _worth(self, flow: Flow, asked: float, all_asked: float) -> float:
        """What its class is worth, less what its tenant asks beyond its share (of the tier, if told)."""
        tenant, kind = self._tenants.get(flow[1] or ""), self._classes.get(flow[0])
        worth = kind.priority_weight if kind is not None else 1.0
        if tenant is None or asked <= 0.0:
            return worth
        inside = min(1.0, all_asked * tenant.share / self._all_shares / asked)
        others = self._tier_asked.get(tenant.name)
        if others is not None and tenant.quota_per_s > 0.0:
            inside = min(1.0, tenant.quota_per_s / (others + asked * 1e6))
        return worth * (inside + (1.0 - inside) * self._settings.over_share_weight)

    def _choose(self, request: Request) -> Server | None:
        """Best of k: of k random distinct servers, the one with the fewest own requests in flight."""
        trial = self._trial_due(request)
        if trial is not None:
            return trial
        if self._remote_at != self._now:
            self._remote_at, self._remote = self._now, self._weigh_zones()
        pool: list[Server] = []
        if self.zones.on:  # the own zone's pace is its headroom
            strength = (1.0 - self._remote) / (1.0 - REMOTE_LEAST)
            pool = self._within_reach(self.zones.nearby(self._stagger.random(), strength), request)
        if len(pool) < 2:
            pool = self._within_reach(self.ready, request)
        if not pool:
            return None
        power = min(max(1.0, float(request.size)), HEAVY_POWER)
        here, away = self.zones.here, self._remote
        odds = [self._odds(each, power) * (1.0 if each.zone == here else away) for each in pool]
        if self._doubted:
            doubts = [DOUBT ** self._doubters(each, request.kind.name) for each in pool]
            odds = [odd * doubt for odd, doubt in zip(odds, doubts, strict=True)]
        drawn = self._drawn(pool, odds, DRAWN << request.said_full)
        if self.zones.on:  # what eases back in counts as busier than it is, by its weight
            return min(drawn, key=lambda e: ((self._busy(e) + 1) / self.zones.weight(self._now, e), e.pace))
        return min(drawn, key=lambda each: (self._busy(each), each.pace))

    def _within_reach(self, servers: Sequence[Server], request: Request) -> list[Server]:
        """The first eligible servers in this balancer's own order, as many as its traffic can know."""
        reach = self._reach()
        pool, shut = list[Server](), list[Server]()
        for each in servers:
            if self._eligible(each, request):
                away = each.turned_away.get(request.flow)
                (pool if away is None or away[0] <= self._now else shut).append(each)
                if len(pool) >= reach:
                    break
        return pool if len(pool) >= min(DRAWN, reach) else pool + shut[: reach - len(pool)]

    def _reach(self) -> int:
        return int(REACH + REACH_PER_BUSY * self._mean_load)

    def _busy(self, server: Server) -> int:
        """Own requests in flight at a server, with those given up on: they may well run on there."""
        if server.ghosts:
            server.ghosts = [until for until in server.ghosts if until > self._now]
        return server.in_flight + len(server.ghosts)

    def _drawn(self, pool: list[Server], odds: list[float], count: int) -> list[Server]:
        """Draw distinct servers by their odds; the order is random too, so the first of equals is chance."""
        drawn, left, total = list[Server](), list(range(len(pool))), sum(odds)
        for _ in range(min(count, len(pool))):
            point, at = self._random.random() * total, 0
            while at < len(left) - 1 and point >= odds[left[at]]:
                point, at = point - odds[left[at]], at + 1
            total -= odds[left[at]]
            drawn.append(pool[left.pop(at)])
        return drawn

    def _odds(self, server: Server, power: float) -> float:
        """Slower servers are drawn less, by heavy requests still less; cold ones by their warmth."""
        pace = math.pow(max(server.pace, 1.0 / PACE_CLIP), power)
        return 1.0 / pace if server.cold_since is None else self._slow_start_weight(server) / pace

    def _weigh_zones(self) -> float:
        """Odds of servers in other zones: less while the own zone is as quick as theirs and none is late."""
        priced = self.zones.on or self._settings.prices.cross_zone > 0.0
        if not priced or self._late >= LATE_ALLOWED or self._window_fill() > FREE:
            return 1.0  # room anywhere is worth more than a crossing
        here, pool = self.zones.here, [each for each in self.ready if each.ejected_until is None]
        near = [each.pace for each in pool if each.zone == here]
        far = [each.pace for each in pool if each.zone != here]
        if not near or not far or sum(far) <= 0.0:
            return 1.0
        behind = (sum(near) / len(near)) / (sum(far) / len(far)) - 1.0
        return max(REMOTE_LEAST, min(behind / REMOTE_EVEN, 1.0))

    def _eligible(self, server: Server, request: Request) -> bool:
        if server.ejected_until is not None or (self.zones.on and not self.zones.is_open(server.zone)):
            return False
        if request.attempts:
            if server in request.tried:
                return False
            for each in request.attempts:
                same = each.server is server or (each.silent and each.server.zone == server.zone)
                if each.pending and same:
                    return False  # a second copy goes elsewhere
        return server.cold_since is None or self._cold_room(server, request.cost)

    # -- The send gate --------------------------------------------------------------------------------

    def _send(self, request: Request, server: Server) -> bool:
        """The one way out for an attempt.  Says whether the attempt was allowed and sent."""
        limits = self._settings.limits
        if request.answered or self._now >= request.answer_by:
            return False  # rule 1: nothing after the final answer, nothing that cannot be answered in time
        beside = not limits.may_hedge and request.is_out()
        if beside or len(request.attempts) >= limits.max_attempts or not self._may_run_again(request):
            return False  # rule 2
        if not server.is_ready():
            return False  # rule 3: at once on hearing, without use of the grace
        if not self._cold_room(server, request.cost):
            return False  # rule 4
        if self._is_cold(server):
            server.allowance -= request.cost
        attempt = Attempt(len(request.attempts), server, self._now, self._absent_us, self._answers)
        request.attempts.append(attempt)
        server.in_flight, self._pending = server.in_flight + 1, self._pending + 1
        if server.ejected_until is not None:
            server.trial, self._stuck = attempt, self._stuck + 1
        if request.answer_by != OPEN_UNTIL:
            self._schedule(self._now + self._patience(request, server), request.ident, attempt.index)
        self.actions.append(SendAttempt(request.ident, server.name, request.answer_by))
        return True

    def _may_run_again(self, request: Request) -> bool:
        """Whether the request's class and its body let another attempt out now."""
        if request.spent:
            return False
        ran = any(each.may_have_run for each in request.attempts)
        return (
            not ran or request.kind.idempotency is Idempotency.IDEMPOTENT
        )  # keyed ones count as unsafe: none is here

    def _finish(self, request: Request) -> None:
        """The one way out for an answer that is not a server's: a refusal where legal, else a failure."""
        if request.answered:
            return
        harmless = request.kind.idempotency is Idempotency.IDEMPOTENT or not any(
            a.may_have_run for a in request.attempts
        )
        self.actions.append(Reject(request.ident) if harmless else Fail(request.ident))
        self._close(request)

    def _close(self, request: Request) -> None:
        """Nothing is owed any more; attempts still out are called off where that is permitted."""
        request.answered = True
        self._call_off(request)
        self._forget_if_over(request)

    def _call_off(self, request: Request) -> None:
        for each in request.attempts:
            if each.pending and not each.started and self._settings.limits.may_cancel:
                self.actions.append(CancelAttempt(request.ident, each.index))

    def _forget_if_over(self, request: Request) -> None:
        if request.answered and not request.is_out():
            self._requests.pop(request.ident, None)

    def _attempt_ended(self, event: AttemptEnded) -> None:
        request = self._requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        if not (attempt := request.attempts[event.attempt]).pending:
            return
        attempt.pending = False
        attempt.may_have_run = event.outcome not in self._proves_unrun
        request.spent = request.spent or event.body_consumed
        if not attempt.started:
            self._release(attempt)
        self._judge(request, attempt, event.outcome)
        if event.outcome is Outcome.CANCELLED and attempt.silent and event.answered:
            if attempt.server.last_answer_at < attempt.sent_at:
                self._note_health(attempt.server, attempt.sent_at, False)  # a copy elsewhere was answered
        if event.outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            if not (attempt.counted_late or request.answered or event.answered):
                self._too_late.add(self._now, 1.0)
            until = self._now + int(GHOST_LIFE * event.elapsed_us)
            attempt.server.ghosts.append(until)
            if attempt.server.ejected_until is None:
                heapq.heappush(self._ghosts, until)
            if event.elapsed_us > self._usual(request) * attempt.server.pace and self._now != self._back_at:
                self._pace(attempt.server, request, event.elapsed_us)
        if event.outcome is Outcome.APPLICATION_ERROR:
            # A quick error must not look like a quick server: it counts as the slowest answer there is.
            self._pace(attempt.server, request, int(PACE_CLIP * self._usual(request)))
            again = request.flow in attempt.server.turned_away  # none answered between: just these fail
            if again or self._doubters(attempt.server, request.kind.name):  # peers saw it: once is enough
                self._turned_away(request, attempt.server)
                self._tell(attempt.server, request.kind.name, ServerVerdict.FAILING, 1 + again)
            else:
                attempt.server.turned_away[request.flow] = (self._now, 0)
        if event.outcome is Outcome.DELIVERED:
            self._served_aims.add(self._now, request.kind.latency_objective_us)
        if event.outcome is Outcome.DELIVERED and self._now != self._back_at:
            self._time(attempt.server, request, event.elapsed_us)
            if not attempt.counted_late:
                self._note_time_spent(event.elapsed_us / request.kind.latency_objective_us)
            attempt.server.turned_away.pop(request.flow, None)
        elif event.outcome is Outcome.REJECTED:
            self._turned_away(request, attempt.server)
            self._tell(attempt.server, request.kind.name, ServerVerdict.REJECTING)
            self._note_time_spent(LOST_SPENT)
        if event.answered:
            if not request.answered:
                self._close(request)
        elif not request.answered:
            request.tried.append(attempt.server)
            if event.outcome is Outcome.REJECTED:
                request.said_full += 1
                self._place(request)
            elif self._extra >= 1.0 and event.outcome is not _FAULTY and self._may_run_again(request):
                self._extra -= 1.0
                self._place(request)
            elif not request.is_out():
                self._finish(request)
        self._forget_if_over(request)

    def _turned_away(self, request: Request, server: Server) -> None:
        """Keep a class and tenant away from a server that turned it away, for longer each time."""
        times = server.turned_away.get(request.flow, (0, 0))[1]
        wait = min(EJECT_AIMS * 2**times, EJECT_AIMS_MOST) * self._longest_aim
        if not self._may_run_again(request):
            wait = EJECT_AIMS_MOST * self._longest_aim  # each further trial would fail a request
        until = self._now + int(wait * (0.75 + 0.5 * self._random.random()))
        server.turned_away[request.flow] = (until, min(times + 1, 8))

    def _usual(self, request: Request) -> float:
        """The usual time of such a request, over all servers."""
        return self.norms.get(
            (request.kind.name, request.size), UNSEEN_AIMS * request.kind.latency_objective_us
        )

    def _pace(self, server: Server, request: Request, elapsed_us: int) -> None:
        ratio = min(elapsed_us / max(self._usual(request), 1.0), PACE_CLIP)
        server.pace += PACE_STEP * self._stretch() * (ratio - server.pace)
        if server.pace > SLOW_PACE and None not in server.told:
            self._tell(server, None, ServerVerdict.SLOW)
        elif server.pace < SLOW_OVER and server.told.get(None) is ServerVerdict.SLOW:
            self._tell(server, None, ServerVerdict.CLEARED)

    def _time(self, server: Server, request: Request, elapsed_us: int) -> None:
        kind = (request.kind.name, request.size)
        usual = self.norms.setdefault(kind, float(elapsed_us))  # the first answer of its kind is usual
        self._pace(server, request, elapsed_us)
        self.norms[kind] = usual + NORM_STEP * (elapsed_us - usual)

    def _patience(self, request: Request, server: Server) -> int:
        usual = PATIENCE * self._usual(request) * max(server.pace, 1.0)
        return int(max(usual, PATIENCE_AIMS * request.kind.latency_objective_us, self._settings.tick_us))

    def _overdue(self, request: Request, attempt: Attempt) -> None:
        """An attempt takes far longer than usual: its server may be silent, slow or overloaded."""
        server = attempt.server
        silent, answered = server.last_answer_at <= attempt.sent_at, self._answers - attempt.answers_before
        if self._now == self._back_at:  # its answer may be among what came meanwhile
            self._schedule(self._now + self._settings.tick_us, request.ident, attempt.index)
            return
        waited = self._now - attempt.sent_at - (self._absent_us - attempt.absent_before)
        if waited < request.kind.latency_objective_us:
            self._schedule(
                self._now + request.kind.latency_objective_us - waited, request.ident, attempt.index
            )
        elif not attempt.counted_late and server.ejected_until is None:
            # Late already, though no answer says so yet: waiting for one would see a surge too late.
            attempt.counted_late = True
            self._note_time_spent(LOST_SPENT)
        enough = max(
            SILENCE * self._patience(request, server), SILENT_AIMS * request.kind.latency_objective_us
        )
        if silent and waited < enough:
            self._schedule(self._now + int(enough) - waited, request.ident, attempt.index)
        elif silent and not attempt.silent:
            attempt.silent = self.zones.on  # another zone's answer to a copy will tell
            if answered >= QUIET_PEERS:
                if server.ejected_until is None:
                    self._eject(server, "silent", SILENT_MOST)
                self._note_health(server, attempt.sent_at, False)
        if silent and (server.ejected_until is not None or attempt.silent):
            self._hedge(request, attempt)

    def _hedge(self, request: Request, attempt: Attempt) -> None:
        """Send a request elsewhere too, or instead, whose attempt will hardly be answered."""
        limits = self._settings.limits
        if not self._may_run_again(request) or len(request.attempts) >= limits.max_attempts:
            return  # waiting is all that is left
        if limits.may_hedge and self._extra >= 1.0:
            self._extra -= 1.0
            self._place(request)
        elif not limits.may_hedge and limits.may_cancel and self._extra >= 1.0:
            self.actions.append(CancelAttempt(request.ident, attempt.index))  # its end draws again

    def _judge(self, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Learn of a server's health from the end of an attempt."""
        server = attempt.server
        trial = server.trial is attempt
        if trial:
            server.trial = None
        if outcome is Outcome.DELIVERED:
            server.strikes = 0
            server.last_answer_at = self._now
            self._answers += 1
            for name in (None, request.kind.name):
                if name in server.doubts:
                    server.doubts[name] = 0  # own evidence wins
            self._tell(server, request.kind.name, ServerVerdict.CLEARED)
            if not self._is_cold(server):
                self._served_warm.add(self._now, request.cost)  # overload serves the light ones
            if server.ejected_until is not None:
                self._readmit(server)
            self._note_health(server, attempt.sent_at, True)
        elif outcome in _FAILURES:
            if outcome is Outcome.TIMED_OUT and server.last_answer_at > attempt.sent_at:
                return  # it is slow, not sick: it answered others meanwhile
            server.strikes += 1
            doubted = min(self._doubters(server, request.kind.name), STRIKES - 1)
            if trial or (server.strikes + doubted >= STRIKES and server.ejected_until is None):
                self._eject(server, outcome.value)
            if outcome is not Outcome.APPLICATION_ERROR:  # who errs is there
                self._note_health(server, attempt.sent_at, False)

    def _eject(self, server: Server, reason: str, most: float = EJECTED_MOST) -> None:
        if server.ejected_until is None:
            room = most * min(len(self.ready), self._reach())
            if self.servers.get(server.name) is not server or len(self._ejected) + 1 > room:
                return
            self._ejected.append(server)
            self._stuck += server.in_flight
            self.actions.append(LogEvent(f"ejected {server.name}: {reason}", "ejected", server.name))
            self._tell(server, None, ServerVerdict.EJECTED, server.strikes)
            self.zones.changed()
        aims = min(EJECT_AIMS * 2**server.ejections, EJECT_AIMS_MOST)
        server.ejections = min(server.ejections + 1, 8)
        spread = 0.75 + 0.5 * self._random.random()
        server.ejected_until = self._now + int(aims * self._longest_aim * spread)

    def _readmit(self, server: Server) -> None:
        server.ejected_until = None
        self._ejected.remove(server)
        self._stuck -= server.in_flight
        server.ejections = server.strikes = 0
        self.actions.append(LogEvent(f"readmitted {server.name}", "readmitted", server.name))
        server.back_at = self._now
        self._tell(server, None, ServerVerdict.CLEARED)
        self.zones.changed()

    def _tell(self, server: Server, name: str | None, verdict: ServerVerdict, evidence: int = 1) -> None:
        """Tell peers what is held of a server, for one class or all, where they know otherwise."""
        held = None if verdict is ServerVerdict.CLEARED else verdict
        if server.told.get(name) is not held:
            server.told.pop(name, None)
            if held is not None:
                server.told[name] = held
            self.actions.append(PublishServerVerdict(server.name, verdict, name, max(evidence, 1)))

    def _verdicts_heard(self, event: PeerVerdictsReceived) -> None:
        """Take what live peers hold: a doubted server is drawn less, an own failure counts for one more."""
        heard: dict[str, dict[str | None, int]] = {}
        for each in event.servers:
            old = self.servers[each.server].doubts if each.server in self.servers else {}
            name = each.service_class
            heard.setdefault(each.server, {})[name] = 0 if old.get(name) == 0 else each.peers
        for server in self.servers.values():
            server.doubts = heard.get(server.name, {})
        self._doubted = any(each.doubts for each in self.servers.values())
        for zone in self.zones.by_name.values():
            zone.told = event.evacuated_zones.get(zone.name, 0)

    @staticmethod
    def _doubters(server: Server, name: str) -> int:
        """How many peers hold something against a server for a class, as far as it counts."""
        return min(max(server.doubts.get(None, 0), server.doubts.get(name, 0)), DOUBTERS_MOST)

    def _state_restored(self, event: StateRestored) -> None:
        """Take up what an earlier life or peers learned, where nothing tells otherwise yet."""
        self.norms = dict(event.baseline_us) | self.norms
        self.bearable, self._bearable_at = max(self.bearable, event.capacity_per_us), self._now
        for server in self.ready:
            kept = event.servers.get(server.name)
            if kept is None or server.last_answer_at >= 0 or kept.started_at != server.started_at:
                continue  # its own answers, or its start since, say more
            server.pace = min(max(kept.relative_latency, 1.0 / PACE_CLIP), PACE_CLIP)
            if kept.ejected_us > 0 and server.ejected_until is None:
                self._eject(server, "recalled", EJECTED_MOST * len(self.ready) / self._reach())

    # -- Zones: left as a whole, tried by one request or by who probes for all ------------------------

    def _note_health(self, server: Server, sent_at: int, good: bool) -> None:
        if not self.zones.on:
            return
        self._zone_back(self.zones.tried(self._now, server, sent_at, good))
        zone = self.zones.note_health(self._now, server, good)
        if zone is None:
            return
        self.zones.leave(self._now, zone)
        span, self._late = SPARSE_AIMS * self._longest_aim, 0.0
        self._too_late, self._shed = Rate(span), Rate(span)  # what was late was there
        self.actions.append(LogEvent(f"left zone {zone.name}: its servers fail", "zone_left", zone.name))
        self.actions.append(PublishZoneVerdict(zone.name, ZoneVerdict.EVACUATED, len(zone.failing)))
        for request in list(self._requests.values()):
            for each in request.attempts:
                if each.pending and not (each.started or request.answered) and each.server.zone == zone.name:
                    self._hedge(request, each)

    def _zone_back(self, zone: Zone | None) -> None:
        if zone is None:
            return
        self.actions.append(PublishZoneVerdict(zone.name, ZoneVerdict.RECOVERED))
        if zone.left_at is None:
            return  # it answers who probes for peers that have left it
        self.zones.come_back(self._now, zone)
        self.actions.append(LogEvent(f"zone {zone.name} is back, easing in", "zone_back", zone.name))
        for server in [each for each in self._ejected if each.zone == zone.name]:
            self._readmit(server)  # what ejected it is what took its zone

    def _probing_heard(self, event: ZoneHealthCheckerChanged) -> None:
        """Who probes zones for the tier; each time it is this balancer it asks one of each zone left."""
        self.zones.probing = event.is_self
        for zone in self.zones.doubtful() if event.is_self and self._settings.limits.may_health_check else ():
            inside = [each.name for each in self.ready if each.zone == zone.name]
            self.actions += [HealthCheck(name) for name in inside and [self._stagger.choice(inside)]]

    def _probe_ended(self, event: HealthCheckEnded) -> None:
        server = self.servers.get(event.server)
        if server is not None:
            self._zone_back(self.zones.probed(server, event.outcome is Outcome.DELIVERED))

    def _trial_due(self, request: Request) -> Server | None:
        """The server that this request is to try: an ejected one, or one back from its exclusion."""
        for server in self._back:
            if server.is_ready() and self._eligible(server, request):
                del self._back[server]
                return server
        if request.kind.idempotency is not Idempotency.IDEMPOTENT or request.attempts:
            return None
        if self.zones.on and (zone := self.zones.due(self._now)):
            inside = [each for each in self.ready if each.zone == zone.name]
            fit = [each for each in inside if not each.trial and self._cold_room(each, request.cost)]
            if fit:
                return self._stagger.choice(fit)
        for server in self._ejected:
            if self.zones.on and not self.zones.is_open(server.zone):
                continue
            waited = server.ejected_until is not None and self._now >= server.ejected_until
            if waited and server.is_ready() and not server.trial and self._cold_room(server, request.cost):
                return server
        return None

    def _turned_cold(self, server: Server, since: int) -> None:
        server.cold_since = since
        server.allowance, server.allowance_at = self._stagger.random(), self._now

    def _is_cold(self, server: Server) -> bool:
        return (
            server.cold_since is not None
            and self._now < server.cold_since + self._settings.rules.slow_start_us
        )

    def _slow_start_weight(self, server: Server) -> float:
        """The least share of its capacity that the server has by now."""
        rules = self._settings.rules
        if server.cold_since is None or not self._is_cold(server):
            return 1.0
        age = max(self._now - server.cold_since, 0)
        return rules.slow_start_min_ratio + (1.0 - rules.slow_start_min_ratio) * age / rules.slow_start_us

    def _cold_room(self, server: Server, cost: float) -> bool:
        """Whether a cold server's budget has room for a request of this cost: it guards rule 4."""
        if not self._is_cold(server):
            return True
        rules = self._settings.rules
        limit = rules.overload_multiple * self._slow_start_weight(server) * self._bearable_by_mean()
        most = max(1.0, COLD_BURST * limit * rules.overload_window_us)
        filled = COLD_SHARE * limit * max(self._now - server.allowance_at, 0)
        server.allowance = min(server.allowance + filled, most)
        server.allowance_at = self._now
        return server.allowance >= min(cost, most)

    def _bearable_by_mean(self) -> float:
        """What a warm server serves for this balancer, or has served of late: it can when it does not."""
        if self._bearable_at != self._now:
            faded = math.exp((self._bearable_at - self._now) / self._settings.rules.slow_start_us)
            self._bearable_at = self._now
            warm = [each for each in self.ready if not self._is_cold(each)]
            peers = warm or self.ready  # ejected ones too: they served a part of what is counted
            served = self._served_warm if warm else self._arrivals
            rate = served.per_us(self._now) / max(min(len(peers), self._reach()), 1)
            self.bearable = max(rate, self.bearable * faded)
        return self.bearable

    def _schedule(self, due: int, what: int, index: int) -> None:
        self._agenda_order += 1
        heapq.heappush(self._agenda, (due, self._agenda_order, what, index))

    def _timer_fired(self) -> None:
        if self._timer_due is not None and self._now >= self._timer_due:
            self._timer_due = None
        while self._agenda and self._agenda[0][0] <= self._now:
            _, _, what, index = heapq.heappop(self._agenda)
            request = self._requests.get(what)
            if what == _ASK:
                if self._ask_due is not None and self._ask_due <= self._now:
                    self._ask()
            elif request is None or request.answered or any(each.started for each in request.attempts):
                pass  # nothing is waited for any more
            elif index == _WHOLE:
                self._finish(request)
            elif request.attempts[index].pending:
                self._overdue(request, request.attempts[index])

    def _is_idle(self, due: int, what: int, index: int) -> bool:
        """Whether nothing would be done when this entry falls due."""
        if what in (_ASK, _BEAT):
            return due != (self._ask_due if what == _ASK else self._beat_due)
        request = self._requests.get(what)
        if request is None or request.answered:
            return True
        return index != _WHOLE and not request.attempts[index].pending

    def _arm_timer(self) -> None:
        agenda = self._agenda
        while agenda and self._is_idle(agenda[0][0], agenda[0][2], agenda[0][3]):
            heapq.heappop(agenda)
        if agenda and (self._timer_due is None or agenda[0][0] < self._timer_due):
            self._timer_due = agenda[0][0]
            self.actions.append(SetTimer(max(agenda[0][0] - self._now, 0), "agenda"))


_FAULTY = Outcome.INVALID_REQUEST
_FAILURES = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CONNECT_FAILED, Outcome.APPLICATION_ERROR)
_WHOLE = -1  # the agenda's mark for a request as a whole, not one of its attempts
_BEAT = -2  # the agenda's mark for the beat that tells of stalls
_ASK = -1  # the agenda's mark for discovery; requests are never negative

"""Exhaustive exploration of the lease protocol: visits every state of `lease_model` within a bound.

Checks in each state:

- safety: no two members hold the lease, and no member holds a token older than one held before;
- liveness, from each state at the last tick: if faults stop (messages arrive in order, clocks keep their
  offsets, members see each other), some member holds the lease within `settle_ticks`.

`python tools/lease_explorer.py` prints the bound and the counts.
"""

from __future__ import annotations

import argparse
from collections import deque
from dataclasses import dataclass, field, replace

from lease_model import DEFAULT_TIMING, Bound, TierModel, TierState
from sidecar_balancer.lease.protocol import NO_MEMBER

_BOUND_OPTIONS = ("ticks", "drift", "drift_steps", "crashes", "duplicates", "suspicions", "in_flight")


@dataclass
class Exploration:
    """The result of an exploration; `trace` is a path with the fewest ticks to the violation, if any."""

    states: int = 0
    transitions: int = 0
    deepest_tick: int = 0
    handovers: int = 0  # states in which a different member than before holds a newer token
    violation: str = ""
    trace: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class _Visit:
    """The step by which a state was first reached."""

    predecessor: TierState | None
    step: str


class Explorer:
    """A breadth-first search by ticks that stops at the first violation."""

    def __init__(self, bound: Bound) -> None:
        self._bound = bound
        self._model = TierModel(bound)

    def explore(self, check_liveness: bool = True) -> Exploration:
        """Visit every state within the bound, up to the first violation."""
        start, result = self._model.start(), Exploration()
        visits = {start: _Visit(None, "start")}
        queue = deque([(start, 0)])
        while queue:
            state, ticks = queue.popleft()
            result.states += 1
            result.deepest_tick = max(result.deepest_tick, ticks)
            violation = self._safety_violation(state)
            if not violation and check_liveness and ticks == self._bound.ticks:
                violation = self._liveness_violation(state)
            if violation:
                result.violation, result.trace = violation, _trace(visits, state)
                return result
            for description, after, is_tick in self._model.steps(state, ticks):
                result.transitions += 1
                if after in visits:
                    continue
                visits[after] = _Visit(state, description)
                result.handovers += state.highest_token_holder not in (NO_MEMBER, after.highest_token_holder)
                if is_tick:
                    queue.append((after, ticks + 1))
                else:
                    queue.appendleft((after, ticks))
        return result

    def _safety_violation(self, state: TierState) -> str:
        holders = self._model.holders(state)
        if len(holders) > 1:
            return f"two holders (member, token): {[tuple(holder) for holder in holders]}"
        highest, highest_holder = state.highest_token, state.highest_token_holder
        for member, token in holders:
            if token < highest or (token == highest and member != highest_holder):
                return f"member {member} holds token {token} after {highest} was held by {highest_holder}"
        return ""

    def _liveness_violation(self, state: TierState) -> str:
        for _ in range(self._bound.settle_ticks):
            if self._model.holders(state):
                return ""
            while state.in_flight:
                state = self._model.deliver(state, 0)
            state = self._model.tick(state, state.clock_offsets)
        if self._model.holders(state):
            return ""
        return f"no holder within {self._bound.settle_ticks} ticks after faults stopped"


def explore(bound: Bound, check_liveness: bool = True) -> Exploration:
    """Visit every state within `bound`, up to the first violation."""
    return Explorer(bound).explore(check_liveness)


def _trace(visits: dict[TierState, _Visit], state: TierState) -> list[str]:
    steps: list[str] = []
    visit: _Visit | None = visits[state]
    while visit is not None:
        steps.append(visit.step)
        visit = visits[visit.predecessor] if visit.predecessor is not None else None
    return steps[::-1]


def main() -> None:
    """Explore the bound given on the command line."""
    parser = argparse.ArgumentParser(description="explore every state of the lease protocol within a bound")
    for name in _BOUND_OPTIONS:
        parser.add_argument("--" + name.replace("_", "-"), type=int, default=getattr(Bound, name))
    parser.add_argument(
        "--no-margin", action="store_true", help="set the skew margin to 0, which violates safety"
    )
    options = vars(parser.parse_args())
    no_margin = options.pop("no_margin")
    timing = replace(DEFAULT_TIMING, skew_us=0) if no_margin else DEFAULT_TIMING
    bound = Bound(timing=timing, **options)
    result = explore(bound)
    print(f"bound: {bound}")
    print(f"states {result.states}, transitions {result.transitions}, handovers {result.handovers}")
    print(f"violation: {result.violation or 'none'}")
    for step in result.trace:
        print("  " + step)


if __name__ == "__main__":
    main()

"""Duties across sidecar processes: one holder at a time, whatever happens to it (docs/leases.md)."""

from __future__ import annotations

import json
import signal
from itertools import pairwise
from pathlib import Path
from typing import Any

from harness import PLANE, Tier, play
from world import Catalogue, World, world

TERMS = {"on": True, "term_ms": 800, "renew_ms": 300, "skew_ms": 50, "retry_ms": 60}


class Watch:
    """Gathers, from all doors, who holds what and every act done.

    The sidecars' monotonic clocks are one on this machine, so the acts of all can be put in order."""

    def __init__(self, tier: Tier) -> None:
        self.tier = tier
        self.acts: set[tuple[int, str, int, int]] = set()  # when, duty, token, by whom
        self.held: dict[int, dict[str, int]] = {}

    async def look(self) -> dict[int, dict[str, int]]:
        held = {}
        for number in list(self.tier.processes):
            told = await duties(self.tier, number)
            if told is not None:
                held[number] = told["held"]
                self.acts |= {(at, duty, token, number) for at, duty, token, _ in told["acts"]}
        self.held = held
        return held

    async def holder(self, duty: str, but: int | None = None) -> int | None:
        held = await self.look()
        found = [number for number, tokens in held.items() if tokens[duty] and number != but]
        return found[0] if found else None

    async def until_held(self, duty: str, but: int | None = None) -> int:
        async def held() -> bool:
            return await self.holder(duty, but) is not None

        await self.tier.until(held)
        found = await self.holder(duty, but)
        while found is None:  # it changed hands between two looks
            found = await self.holder(duty, but)
        return found

    def double_acts(self) -> int:
        """Acts out of turn: under a token older than one acted on before, or one token of two holders."""
        wrong = 0
        for duty in {each[1] for each in self.acts}:
            mine = sorted(each for each in self.acts if each[1] == duty)
            wrong += sum(after[2] < before[2] for before, after in pairwise(mine))
            wrong += sum(len({e[3] for e in mine if e[2] == t}) > 1 for t in {e[2] for e in mine})
        return wrong


async def duties(tier: Tier, number: int) -> dict[str, Any] | None:
    status, body = await tier.call(number, "GET", "/api/duties")
    told: dict[str, Any] | None = json.loads(body) if status == 200 else None
    return told


def config(tmp_path: Path) -> dict[str, Any]:
    state = {"on": True, "every_ms": 30, "tier_folder": str(tmp_path / "tier")}
    return {"duties": TERMS, "state": state, "locality": {"on": True, "ramp_ms": 1000, "probe_ms": 100}}


def servers() -> list[Catalogue]:
    return [Catalogue(f"{zone}-{number}", zone) for zone in "ab" for number in range(2)]


def test_a_killed_holder_is_followed_and_no_act_is_out_of_turn(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(tmp_path, 3, servers(), "aba", plane=PLANE, changes=config(tmp_path)) as made:
            watch = Watch(made.tier)
            first = await watch.until_held("snapshot")
            await acted(watch, first)
            await made.tier.kill(first)
            second = await watch.until_held("snapshot")
            await acted(watch, second)
            await made.tier.start(first)  # under its old number, remembering only what is on its disk
            await made.tier.until(made.tier.all_ready)
            await acted(watch, await watch.until_held("snapshot"))
            assert second != first and len(watch.acts) > 3 and watch.double_acts() == 0
            names = {each.name for each in (tmp_path / "tier").iterdir()}
            assert any(name.startswith("tier-") for name in names)

    play(scene())


def test_a_holder_that_was_paused_past_its_lease_acts_no_more(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(tmp_path, 3, servers(), "aba", plane=PLANE, changes=config(tmp_path)) as made:
            watch = Watch(made.tier)
            first = await watch.until_held("snapshot")
            await acted(watch, first)
            made.tier.signal(first, signal.SIGSTOP)
            second = await watch.until_held("snapshot", but=first)
            await acted(watch, second)
            made.tier.signal(first, signal.SIGCONT)
            await made.tier.until(lambda: answers(made, first))
            await acted(watch, second)
            assert watch.held[first]["snapshot"] == 0 and watch.double_acts() == 0

    play(scene())


def test_a_holder_cut_off_stops_before_the_majority_has_another(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(tmp_path, 3, servers(), "aba", plane=PLANE, changes=config(tmp_path)) as made:
            made.tier.faults.loss = 0.1
            watch = Watch(made.tier)
            first = await watch.until_held("snapshot")
            await acted(watch, first)
            made.tier.faults.cut = {frozenset((first, each)) for each in range(3) if each != first}
            second = await watch.until_held("snapshot", but=first)
            await acted(watch, second)
            assert (await watch.look())[first]["snapshot"] == 0
            made.tier.faults.cut = set()
            await acted(watch, second)
            assert watch.double_acts() == 0

    play(scene())


def test_one_sidecar_probes_a_lost_zone_and_all_go_back_on_its_word(tmp_path: Path) -> None:
    async def scene() -> None:
        async with world(tmp_path, 3, servers(), "aab", plane=PLANE, changes=config(tmp_path)) as made:
            watch = Watch(made.tier)
            await watch.until_held("zones")
            made.load.start()
            await made.kill_zone("b")
            await made.tier.until(lambda: made.left("b", [2]))
            await made.return_zone("b", tell=False)
            await made.tier.until(lambda: made.all_in("b"))
            for number in range(3):
                told = await duties(made.tier, number)
                assert told is not None and told["fenced"] == 0
            assert watch.double_acts() == 0

    play(scene())


async def acted(watch: Watch, number: int) -> None:
    """Wait for a new act of this member."""
    await watch.look()
    before = {each for each in watch.acts if each[3] == number}

    async def more() -> bool:
        await watch.look()
        return {each for each in watch.acts if each[3] == number} > before

    await watch.tier.until(more)


async def answers(made: World, number: int) -> bool:
    return await duties(made.tier, number) is not None

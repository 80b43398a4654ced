"""Write the golden files below `data/` with the program as it stands.

Run as `python tests/compatibility/make_golden.py` from the root.  Only a deliberate change of an outside form
is a reason to run it: the tests hold every later version to what the files say.  Seeds, clocks and names are
fixed and volatile values are replaced by placeholders, so that two runs write the same bytes.
"""

from __future__ import annotations

import heapq
import json
import random
import shutil
import subprocess
import tempfile
from pathlib import Path
from typing import Any

import golden_scenes as scenes
import golden_subjects as subjects
from golden_cases import CUT, DATA, DATAGRAMS, LIST, ORDERS, SETTINGS, TOKEN, flushes
from golden_processes import ROOT, deployed


def _dump(name: str, value: Any) -> None:
    (DATA / name).write_text(json.dumps(value, indent=1, ensure_ascii=False) + "\n", encoding="utf-8")


def make_state() -> None:
    """State folders, the shared snapshot, the orders, and what is read of them."""
    changes = flushes()
    subjects.write_store(DATA / "state", changes)
    shutil.copytree(DATA / "state", DATA / "state_cut")
    log = DATA / "state_cut" / "state-1.log"
    log.write_bytes(log.read_bytes()[:-CUT])
    records, _ = subjects.read_store(DATA / "state")
    subjects.write_shared_snapshot(DATA / "shared", TOKEN, records)
    (DATA / "orders").mkdir()
    subjects.write_orders(DATA / "orders", **ORDERS)
    told: dict[str, Any] = {
        "flushes": [[[key, value and value.hex()] for key, value in each] for each in changes],
        "recalled": subjects.recalled(DATA / "state"),
        "recalled from the cut log": subjects.recalled(DATA / "state_cut"),
        "recalled from the shared snapshot": subjects.recalled(DATA / "none", DATA / "shared"),
    }
    shutil.rmtree(DATA / "none", ignore_errors=True)
    for name in ("state", "state_cut"):
        found, notes = subjects.read_store(DATA / name)
        told[name] = {"records": {key: value.hex() for key, value in found.items()}, "notes": notes}
    with tempfile.TemporaryDirectory() as target:
        subjects.keep_again(DATA / "state", Path(target), SETTINGS, LIST)
        again, _ = subjects.read_store(Path(target))
    told["kept again"] = {key: value.hex() for key, value in again.items()}
    _dump("state.json", told)


def make_datagrams() -> None:
    """A datagram of each kind of message and update: its bytes and its values."""
    told = {}
    for name, given in DATAGRAMS.items():
        data = subjects.build_datagram(*given)
        told[name] = {"bytes": data.hex(), "values": subjects.read_datagram(data)[0]}
    _dump("datagrams.json", told)


def make_processes() -> None:
    """What the processes answer and ask."""
    for name, scene in (
        ("admin", scenes.admin_scene),
        ("discovery", scenes.discovery_scene),
        ("relay", scenes.relay_scene),
        ("proxy", scenes.proxy_scene),
    ):
        with tempfile.TemporaryDirectory() as folder:
            _dump(f"{name}.json", scene(Path(folder)))


# The simulator's wire

SERVERS = [f"10.0.0.{number}:80" for number in range(1, 7)]
_LANES: list[dict[str, Any]] = [
    {"name": "look", "giveUpUs": 600_000, "promiseUs": 200_000, "repeat": "read_like", "worth": 2.0},
    {
        "name": "amend",
        "giveUpUs": 600_000,
        "repeat": "idempotency_key",
        "group": "all",
        "memorySpanUs": 5_000_000,
    },
    {"name": "pay", "giveUpUs": 800_000, "repeat": "non_idempotent", "worth": 10.0},
    {"name": "watch", "giveUpUs": 600_000, "repeat": "read_like", "streaming": True},
]


def _boot(**changes: Any) -> dict[str, Any]:
    bounds = {"sendCap": 4, "secondCopies": True, "mayCancel": True, "probing": True, "mayTell": True}
    guarantees = {"answerSlackUs": 20_000, "askWithinUs": 1_000_000, "coldFrom": 0.2, "coldUs": 2_000_000}
    return {
        "bounds": bounds | {"retryAfter": True, "maxRetryAfterUs": 2_000_000, "dialTimeoutUs": 100_000},
        "discovery": "on_request",
        "groupSize": 2,
        "guarantees": guarantees | {"drainGraceUs": 500_000, "fallMultiple": 3.0, "fallUs": 500_000},
        "lanes": _LANES,
        "me": 0,
        "prices": {"waste": 0.05, "peer": 0.01, "handshake": 0.02},
        "realms": [{"name": "north", "portion": 0.6, "quotaRps": 60.0}, {"name": "south", "portion": 0.4}],
        "report": {"source": "piggyback", "columns": ["util", "queue"]},
        "zone": "a",
        "zones": ["a", "b"],
    } | changes


class _Site:
    """A small site round the wire: what is assigned ends somehow, what is reminded of comes."""

    def __init__(self) -> None:
        self.inputs: list[str] = []
        self.outputs: list[str] = []
        self.now = 1_000_000
        self._random = random.Random(5)
        self._plans: list[tuple[int, int, list[Any]]] = []
        self._count = 0
        self._attempts: dict[tuple[str, int], list[str]] = {}
        self._over: set[tuple[str, int]] = set()
        self._ended: set[tuple[str, int, int]] = set()
        self._process = subprocess.Popen(
            ["/bin/sh", "-c", deployed("sim")],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def close(self) -> None:
        assert self._process.stdin is not None
        self._process.stdin.close()
        assert self._process.wait() == 0

    def frame(self, *events: list[Any]) -> None:
        """Play one batch: these events and what is due."""
        assert self._process.stdin is not None and self._process.stdout is not None
        lines: list[list[Any]] = [["FRAME", self.now], *events]
        ended = {event[1] for event in events if event[0] == "EXIT"}  # nothing comes for these any more
        self._plans = [plan for plan in self._plans if plan[2][1] not in ended]
        heapq.heapify(self._plans)
        while self._plans and self._plans[0][0] <= self.now:
            event = heapq.heappop(self._plans)[2]
            lines += [event] if self._stands(event) else []
        lines.append(["COMMIT"])
        for line in lines:
            self.inputs.append(json.dumps(line, separators=(",", ":")))
            self._process.stdin.write(self.inputs[-1] + "\n")
        self._process.stdin.flush()
        while True:
            reply = self._process.stdout.readline().rstrip("\n")
            self.outputs.append(reply)
            action = json.loads(reply)
            if action == ["DONE"]:
                break
            self._follow(*action)
        self.now += 5_000

    def _plan(self, in_us: int, event: list[Any]) -> None:
        self._count += 1
        heapq.heappush(self._plans, (self.now + in_us, self._count, event))

    def _stands(self, event: list[Any]) -> bool:
        """Whether a planned event still comes; an attempt that ends is filled in by how things stand."""
        if event[0] != "ATTEMPT_END":
            return event[0] != "FIRST" or (event[1], event[2], event[3]) not in self._ended
        who, request, attempt, outcome = event[1], event[2], event[3], event[5]
        if (who, request, attempt) in self._ended:
            return False
        self._ended.add((who, request, attempt))
        if outcome == "delivered":
            self._over.add((who, request))
        event[7] = (who, request) in self._over
        return True

    def _follow(self, name: str, who: str, *values: Any) -> None:
        if name == "REMIND":
            self._plan(max(values[0], 1), ["WAKE", who, values[1]])
        elif name == "ASSIGN":
            self._assigned(who, *values)
        elif name == "ABORT_ATTEMPT":
            request, attempt = values
            server = self._attempts[who, request][attempt]
            self._plan(1, ["ATTEMPT_END", who, request, attempt, server, "revoked", 9_000, False, None])
        elif name in ("NOT_NOW", "SURRENDER"):
            self._over.add((who, values[0]))
        elif name == "FOLLOW":
            failed = self._random.random() < 0.3
            self._plan(30_000, ["TARGETS", who, "failed" if failed else "delta", 2, 42])

    def _assigned(self, who: str, request: int, server: str, until: int) -> None:
        sent = self._attempts.setdefault((who, request), [])
        sent.append(server)
        attempt, chance = len(sent) - 1, self._random.random()
        took, outcome = self._random.randrange(10_000, 40_000), "delivered"
        if server == SERVERS[1]:
            took *= 4
        elif server == SERVERS[2] and chance < 0.8:
            outcome = self._random.choice(["dropped", "dial_failed", "app_error"])
        elif server == SERVERS[3] and 2_000_000 < self.now < 3_000_000:
            took, outcome = max(until - self.now, 1), "expired"
        elif server == SERVERS[4] and chance < 0.5:
            took, outcome = 3_000, "shed"
        report = {"util": round(chance, 2), "queue": 1} if outcome == "delivered" and chance < 0.5 else None
        if request % 8 == 7 and outcome == "delivered":
            self._plan(took // 2, ["FIRST", who, request, attempt, took // 2, server])
        self._plan(took, ["ATTEMPT_END", who, request, attempt, server, outcome, took, False, report])


def _page(number: int, *changes: list[Any]) -> list[Any]:
    entries = [[name, "ab"[at % 2], "box", at // 2, "ready", 1, None] for at, name in enumerate(SERVERS)]
    return ["PAGE", number, list(changes) or entries]


def _work(request: int, who: str, chance: random.Random) -> list[Any]:
    band = ("look", "amend", "pay", "look", "look", "pay", "look", "watch")[request % 8]
    tenant = (None, "north", "south", 0)[request % 4]
    hint = chance.randrange(5_000, 20_000) if request % 2 else None
    flags = (1 if hint else 0) + (2 if request % 10 == 0 else 0) + (4 if band == "pay" else 0)
    return ["WORK_ITEM", who, request, band, tenant, request % 5 or None, 500_000, hint, flags]


def make_simulator() -> None:
    """A day of two instances: each kind of event, and the replies."""
    site, chance = _Site(), random.Random(6)
    one, two, three = "sidecar-0", "sidecar-1", "sidecar-2"
    site.frame()
    site.frame(_page(0), ["BEGIN", one, 11, _boot()], ["TARGETS", one, "cached", 0, 40])
    pushed = _boot(discovery="pushed", me=1) | {"bounds": {"sendCap": 2, "mayCancel": True}}
    site.frame(["BEGIN", two, 12, pushed], ["TARGETS", two, "full", 0, 41])
    page = _page(
        2,
        [SERVERS[5], "b", "box", 2, "draining", 1, None],
        ["10.0.0.9:80", "a", "box", 1, "ready", 1.5, 900_000],
    )
    site.frame(
        page, ["BEGIN", three, 13, _boot(realms=[])], ["WORK_ITEM", three, 1, "look", None, None, 1, None, 0]
    )
    for number in range(700):
        events: list[list[Any]] = []
        if number % 4 < 2 or 300 <= number < 380:
            events.append(_work(number, (one, two)[number % 2], chance))
        if number % 60 == 50:
            events.append(["CLIENT_GONE", (one, two)[(number - 2) % 2], number - 2])
        if number == 200:
            events.append(["TARGETS", two, "delta", 2, 42])
        if number == 250:
            events += [
                ["SAMPLED", one, 4_000, "delivered", SERVERS[2], {"util": 0.5}],
                ["MEMO", one, 1, "00ff"],
            ]
            events.append(["SAMPLED", one, 100_000, "dial_failed", SERVERS[3]])
        if number == 400:
            gone = [[name, "a", "box", 0, "gone", 1, None] for name in SERVERS]
            events += [_page(3, *gone), ["TARGETS", two, "delta", 3, 43], ["TARGETS", one, "failed", 0, 0]]
        if number == 500:
            events += [["EXIT", two], _page(0), ["BEGIN", two, 14, pushed], ["TARGETS", two, "full", 0, 44]]
        site.frame(*events)
    site.frame(["EXIT", one], ["EXIT", two], ["EXIT", three])
    site.close()
    (DATA / "simulator.in").write_text("".join(f"{line}\n" for line in site.inputs), encoding="utf-8")
    (DATA / "simulator.out").write_text("".join(f"{line}\n" for line in site.outputs), encoding="utf-8")


def main() -> None:
    shutil.rmtree(DATA, ignore_errors=True)
    DATA.mkdir()
    make_state()
    make_datagrams()
    make_processes()
    make_simulator()


if __name__ == "__main__":
    main()

"""Write the golden files below `data/` with the current program.

Run as `python tests/compatibility/make_golden.py` from the root, and only for a deliberate change of an
external format: the tests compare every later version with the files.  Seeds, clocks and names are fixed and
volatile values are replaced by placeholders, so that two runs write the same bytes.
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

import golden_scenes as scenarios
import golden_subjects as subjects
from golden_cases import (
    DATA,
    DATAGRAMS,
    ENDPOINT_LIST,
    OVERRIDES,
    SETTINGS,
    SNAPSHOT_TOKEN,
    TRUNCATED_BYTES,
    flushes,
)
from golden_processes import ROOT, deployed_command


def _dump(name: str, value: Any) -> None:
    (DATA / name).write_text(json.dumps(value, indent=1, ensure_ascii=False) + "\n", encoding="utf-8")


def make_state() -> None:
    """Write state folders, the tier snapshot, operator overrides, and the state read from them."""
    changes = flushes()
    subjects.write_store(DATA / "state", changes)
    shutil.copytree(DATA / "state", DATA / "state_cut")
    log = DATA / "state_cut" / "state-1.log"
    log.write_bytes(log.read_bytes()[:-TRUNCATED_BYTES])
    records, _ = subjects.read_store(DATA / "state")
    subjects.write_tier_snapshot(DATA / "shared", SNAPSHOT_TOKEN, records)
    (DATA / "orders").mkdir()
    subjects.write_overrides(DATA / "orders", **OVERRIDES)
    recorded: dict[str, Any] = {
        "flushes": [[[key, value and value.hex()] for key, value in each] for each in changes],
        "recalled": subjects.restore(DATA / "state"),
        "recalled from the cut log": subjects.restore(DATA / "state_cut"),
        "recalled from the shared snapshot": subjects.restore(DATA / "none", DATA / "shared"),
    }
    shutil.rmtree(DATA / "none", ignore_errors=True)
    for name in ("state", "state_cut"):
        records_read, warnings = subjects.read_store(DATA / name)
        recorded[name] = {
            "records": {key: value.hex() for key, value in records_read.items()},
            "notes": warnings,
        }
    with tempfile.TemporaryDirectory() as target:
        subjects.restore_and_persist(DATA / "state", Path(target), SETTINGS, ENDPOINT_LIST)
        persisted, _ = subjects.read_store(Path(target))
    recorded["kept again"] = {key: value.hex() for key, value in persisted.items()}
    _dump("state.json", recorded)


def make_datagrams() -> None:
    """Write the bytes and values of a datagram of each kind of message and update."""
    recorded = {}
    for name, values in DATAGRAMS.items():
        data = subjects.build_datagram(*values)
        recorded[name] = {"bytes": data.hex(), "values": subjects.read_datagram(data)[0]}
    _dump("datagrams.json", recorded)


def make_processes() -> None:
    """Write the requests and responses of the processes."""
    for name, scenario in (
        ("admin", scenarios.admin_scenario),
        ("discovery", scenarios.discovery_scenario),
        ("relay", scenarios.relay_scenario),
        ("proxy", scenarios.proxy_scenario),
    ):
        with tempfile.TemporaryDirectory() as folder:
            _dump(f"{name}.json", scenario(Path(folder)))


# The simulator's protocol

SERVERS = [f"10.0.0.{number}:80" for number in range(1, 7)]
_SERVICE_CLASSES: list[dict[str, Any]] = [
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


def _boot_settings(**changes: Any) -> dict[str, Any]:
    bounds = {"sendCap": 4, "secondCopies": True, "mayCancel": True, "probing": True, "mayTell": True}
    guarantees = {"answerSlackUs": 20_000, "askWithinUs": 1_000_000, "coldFrom": 0.2, "coldUs": 2_000_000}
    return {
        "bounds": bounds | {"retryAfter": True, "maxRetryAfterUs": 2_000_000, "dialTimeoutUs": 100_000},
        "discovery": "on_request",
        "groupSize": 2,
        "guarantees": guarantees | {"drainGraceUs": 500_000, "fallMultiple": 3.0, "fallUs": 500_000},
        "lanes": _SERVICE_CLASSES,
        "me": 0,
        "prices": {"waste": 0.05, "peer": 0.01, "handshake": 0.02},
        "realms": [{"name": "north", "portion": 0.6, "quotaRps": 60.0}, {"name": "south", "portion": 0.4}],
        "report": {"source": "piggyback", "columns": ["util", "queue"]},
        "zone": "a",
        "zones": ["a", "b"],
    } | changes


class _SimulatorDriver:
    """Driver of a simulator process: ends the attempts that it assigns and fires the timers that it sets."""

    def __init__(self) -> None:
        self.inputs: list[str] = []
        self.outputs: list[str] = []
        self.now = 1_000_000
        self._random = random.Random(5)
        self._scheduled: list[tuple[int, int, list[Any]]] = []
        self._count = 0
        self._servers_by_request: dict[tuple[str, int], list[str]] = {}
        self._finished_requests: set[tuple[str, int]] = set()
        self._ended_attempts: set[tuple[str, int, int]] = set()
        self._process = subprocess.Popen(
            ["/bin/sh", "-c", deployed_command("sim")],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def close(self) -> None:
        assert self._process.stdin is not None
        self._process.stdin.close()
        assert self._process.wait() == 0

    def play_batch(self, *events: list[Any]) -> None:
        """Send one batch with these events and those due; handle the replies."""
        assert self._process.stdin is not None and self._process.stdout is not None
        lines: list[list[Any]] = [["FRAME", self.now], *events]
        ended = {event[1] for event in events if event[0] == "EXIT"}  # these instances get no more events
        self._scheduled = [scheduled for scheduled in self._scheduled if scheduled[2][1] not in ended]
        heapq.heapify(self._scheduled)
        while self._scheduled and self._scheduled[0][0] <= self.now:
            event = heapq.heappop(self._scheduled)[2]
            lines += [event] if self._still_applies(event) else []
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
            self._handle_action(*action)
        self.now += 5_000

    def _schedule(self, delay_us: int, event: list[Any]) -> None:
        self._count += 1
        heapq.heappush(self._scheduled, (self.now + delay_us, self._count, event))

    def _still_applies(self, event: list[Any]) -> bool:
        """Return whether a scheduled event still occurs; mark an attempt's end if its request is over."""
        if event[0] != "ATTEMPT_END":
            return event[0] != "FIRST" or (event[1], event[2], event[3]) not in self._ended_attempts
        instance, request, attempt, outcome = event[1], event[2], event[3], event[5]
        if (instance, request, attempt) in self._ended_attempts:
            return False
        self._ended_attempts.add((instance, request, attempt))
        if outcome == "delivered":
            self._finished_requests.add((instance, request))
        event[7] = (instance, request) in self._finished_requests
        return True

    def _handle_action(self, name: str, instance: str, *values: Any) -> None:
        if name == "REMIND":
            self._schedule(max(values[0], 1), ["WAKE", instance, values[1]])
        elif name == "ASSIGN":
            self._schedule_outcome(instance, *values)
        elif name == "ABORT_ATTEMPT":
            request, attempt = values
            server = self._servers_by_request[instance, request][attempt]
            self._schedule(
                1, ["ATTEMPT_END", instance, request, attempt, server, "revoked", 9_000, False, None]
            )
        elif name in ("NOT_NOW", "SURRENDER"):
            self._finished_requests.add((instance, values[0]))
        elif name == "FOLLOW":
            failed = self._random.random() < 0.3
            self._schedule(30_000, ["TARGETS", instance, "failed" if failed else "delta", 2, 42])

    def _schedule_outcome(self, instance: str, request: int, server: str, until_us: int) -> None:
        sent = self._servers_by_request.setdefault((instance, request), [])
        sent.append(server)
        attempt, draw = len(sent) - 1, self._random.random()
        took_us, outcome = self._random.randrange(10_000, 40_000), "delivered"
        if server == SERVERS[1]:
            took_us *= 4
        elif server == SERVERS[2] and draw < 0.8:
            outcome = self._random.choice(["dropped", "dial_failed", "app_error"])
        elif server == SERVERS[3] and 2_000_000 < self.now < 3_000_000:
            took_us, outcome = max(until_us - self.now, 1), "expired"
        elif server == SERVERS[4] and draw < 0.5:
            took_us, outcome = 3_000, "shed"
        report = {"util": round(draw, 2), "queue": 1} if outcome == "delivered" and draw < 0.5 else None
        if request % 8 == 7 and outcome == "delivered":
            self._schedule(took_us // 2, ["FIRST", instance, request, attempt, took_us // 2, server])
        self._schedule(
            took_us, ["ATTEMPT_END", instance, request, attempt, server, outcome, took_us, False, report]
        )


def _list_page(number: int, *changes: list[Any]) -> list[Any]:
    entries = [[name, "ab"[at % 2], "box", at // 2, "ready", 1, None] for at, name in enumerate(SERVERS)]
    return ["PAGE", number, list(changes) or entries]


def _work_item(request: int, instance: str, rng: random.Random) -> list[Any]:
    service_class = ("look", "amend", "pay", "look", "look", "pay", "look", "watch")[request % 8]
    tenant = (None, "north", "south", 0)[request % 4]
    hint = rng.randrange(5_000, 20_000) if request % 2 else None
    flags = (1 if hint else 0) + (2 if request % 10 == 0 else 0) + (4 if service_class == "pay" else 0)
    return ["WORK_ITEM", instance, request, service_class, tenant, request % 5 or None, 500_000, hint, flags]


def make_simulator() -> None:
    """Write a run of three instances with each kind of event, and the replies."""
    driver, rng = _SimulatorDriver(), random.Random(6)
    one, two, three = "sidecar-0", "sidecar-1", "sidecar-2"
    driver.play_batch()
    driver.play_batch(_list_page(0), ["BEGIN", one, 11, _boot_settings()], ["TARGETS", one, "cached", 0, 40])
    pushed = _boot_settings(discovery="pushed", me=1) | {"bounds": {"sendCap": 2, "mayCancel": True}}
    driver.play_batch(["BEGIN", two, 12, pushed], ["TARGETS", two, "full", 0, 41])
    page = _list_page(
        2,
        [SERVERS[5], "b", "box", 2, "draining", 1, None],
        ["10.0.0.9:80", "a", "box", 1, "ready", 1.5, 900_000],
    )
    driver.play_batch(
        page,
        ["BEGIN", three, 13, _boot_settings(realms=[])],
        ["WORK_ITEM", three, 1, "look", None, None, 1, None, 0],
    )
    for number in range(700):
        events: list[list[Any]] = []
        if number % 4 < 2 or 300 <= number < 380:
            events.append(_work_item(number, (one, two)[number % 2], rng))
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
            events += [
                _list_page(3, *gone),
                ["TARGETS", two, "delta", 3, 43],
                ["TARGETS", one, "failed", 0, 0],
            ]
        if number == 500:
            events += [
                ["EXIT", two],
                _list_page(0),
                ["BEGIN", two, 14, pushed],
                ["TARGETS", two, "full", 0, 44],
            ]
        driver.play_batch(*events)
    driver.play_batch(["EXIT", one], ["EXIT", two], ["EXIT", three])
    driver.close()
    (DATA / "simulator.in").write_text("".join(f"{line}\n" for line in driver.inputs), encoding="utf-8")
    (DATA / "simulator.out").write_text("".join(f"{line}\n" for line in driver.outputs), encoding="utf-8")


def main() -> None:
    shutil.rmtree(DATA, ignore_errors=True)
    DATA.mkdir()
    make_state()
    make_datagrams()
    make_processes()
    make_simulator()


if __name__ == "__main__":
    main()

"""The operators' exclusions in the balancer: an overlay over what the list says."""

from __future__ import annotations

import pytest

from helpers import MS, S, Stage, names, settings
from sidecar_balancer.policy.actions import ApplyDisabledServers, SendAttempt
from sidecar_balancer.policy.events import DisabledServersChanged, ListedServer, ServerOverrideRequested
from sidecar_balancer.policy.types import ListKind, Outcome, ServerState

SERVERS = names(3)


def stage_of(count: int = 3) -> Stage:
    stage = Stage()
    stage.servers(names(count))
    return stage


def ask(stage: Stage, server: str, excluded: bool) -> bool:
    """Make the call; whether it was taken."""
    return any(
        isinstance(each, ApplyDisabledServers)
        for each in stage.play(ServerOverrideRequested(server, excluded))
    )


def targets(stage: Stage) -> set[str]:
    """Where requests go, of which a few are in flight at any time."""
    before = len(stage.log)
    stage.serve(80)
    return {each.server for _, each in stage.log[before:] if isinstance(each, SendAttempt)}


@pytest.mark.parametrize("kind", [ListKind.SNAPSHOT, ListKind.DELTA, ListKind.CACHED])
def test_an_excluded_server_is_left_out_whatever_the_list_says(kind: ListKind) -> None:
    stage = stage_of()
    assert ask(stage, SERVERS[0], True)
    assert targets(stage) == set(SERVERS[1:])
    lines = [ListedServer(each, zone="east", started_at=stage.now) for each in SERVERS[:1]]
    stage.servers([*lines, *SERVERS[1:]], kind)
    stage.wait(20 * S)  # long warm
    assert targets(stage) == set(SERVERS[1:])


def test_a_retry_and_a_trial_leave_an_excluded_server_out() -> None:
    stage = stage_of(2)
    for _ in range(2):  # two strikes eject the first
        request = stage.request()
        while stage.target(request) != SERVERS[0]:
            stage.end(request)
            request = stage.request()
        stage.end(request, Outcome.CONNECTION_LOST)
    assert stage.balancer.ejected_servers and ask(stage, SERVERS[0], True)
    stage.wait(60 * S)  # its trial is long due
    assert targets(stage) == {SERVERS[1]}
    request = stage.request()
    stage.end(request, Outcome.REJECTED)
    assert {each.server for _, each in stage.sends(request)} == {SERVERS[1]}


def test_one_call_back_ends_repeated_calls_out_and_the_server_is_cold() -> None:
    stage = stage_of()
    stage.serve(60)
    for _ in range(3):
        assert ask(stage, SERVERS[0], True)
    assert ask(stage, SERVERS[0], False)
    server = stage.balancer.servers[SERVERS[0]]
    assert stage.balancer.is_warming_up(server)
    stage.wait(11 * S)
    assert targets(stage) == set(SERVERS) and not stage.balancer.is_warming_up(server)


def test_a_server_back_from_its_ban_is_used_within_five_seconds() -> None:
    for seed in range(10):
        stage = Stage(seed=seed)
        stage.servers(SERVERS)
        stage.serve(100)
        ask(stage, SERVERS[0], True)
        stage.serve(100)
        ask(stage, SERVERS[0], False)
        assert SERVERS[0] in targets(stage), seed  # 1.6 s of fifty requests a second


@pytest.mark.parametrize(("told", "waited_s"), [(False, 10), (True, 5)])
def test_after_its_ban_a_server_is_cold_from_its_told_restart_or_else_from_now(
    told: bool, waited_s: int
) -> None:
    stage = stage_of()
    stage.servers([ListedServer(SERVERS[0], "east", started_at=stage.now - 1 * S)], ListKind.DELTA)
    ask(stage, SERVERS[0], True)
    if told:
        stage.servers([ListedServer(SERVERS[0], "east", started_at=stage.now)], ListKind.DELTA)
    stage.wait(5 * S)
    ask(stage, SERVERS[0], False)
    server = stage.balancer.servers[SERVERS[0]]
    assert server.warming_since is not None
    assert server.warming_since + 10 * S == stage.now + waited_s * S


def test_a_server_back_from_its_ban_is_used_at_once_where_requests_are_few_and_others_quicker() -> None:
    for seed in range(10):
        stage = Stage(seed=seed)
        stage.servers(names(8))
        stage.serve(60)
        server = stage.balancer.servers[SERVERS[0]]
        server.relative_latency = 3.0
        ask(stage, server.name, True)
        stage.wait(1 * S)
        ask(stage, server.name, False)
        before = len(stage.log)
        for _ in range(100):  # one at a time: all servers are empty, and the quicker ones win the draw
            stage.wait(50 * MS)
            request = stage.request()
            stage.wait(20 * MS)
            stage.end(request)
        sent = [each.server for _, each in stage.log[before:] if isinstance(each, SendAttempt)]
        assert server.name in sent, seed
        assert server not in stage.balancer.disabled.unused


def test_after_the_ban_a_server_is_as_the_list_says() -> None:
    stage = stage_of()
    ask(stage, SERVERS[0], True)
    stage.drain(SERVERS[0])
    ask(stage, SERVERS[0], False)
    stage.wait(20 * S)
    assert targets(stage) == set(SERVERS[1:])
    stage.drain(SERVERS[0], ServerState.READY)
    assert targets(stage) == set(SERVERS)


def test_only_a_name_that_was_never_listed_is_declined() -> None:
    stage = stage_of()
    for excluded in (True, False):
        assert not ask(stage, "10.9.9.9:80", excluded)
    stage.servers(SERVERS[1:])  # the first leaves and is forgotten
    assert SERVERS[0] not in stage.balancer.servers
    assert ask(stage, SERVERS[0], True)
    stage.servers(SERVERS)
    assert targets(stage) == set(SERVERS[1:])


def test_a_server_that_leaves_during_its_ban_and_comes_again_is_still_left_out() -> None:
    stage = stage_of()
    ask(stage, SERVERS[0], True)
    stage.servers(SERVERS[1:])
    stage.servers(SERVERS)
    assert targets(stage) == set(SERVERS[1:])


def test_stored_exclusions_hold_for_servers_listed_later_and_replace_earlier_ones() -> None:
    stage = Stage()
    stage.play(DisabledServersChanged([SERVERS[0]]))
    stage.servers(SERVERS)
    assert targets(stage) == set(SERVERS[1:])
    stage.play(DisabledServersChanged([SERVERS[1]]))
    stage.wait(20 * S)
    assert targets(stage) == {SERVERS[0], SERVERS[2]}


def test_names_of_servers_that_left_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("sidecar_balancer.policy.endpoint_table.FORMER_NAMES_MAX", 20)
    stage = Stage(settings())
    for deploy in range(10):
        stage.servers([f"{deploy}-{each}" for each in SERVERS])
    stage.servers([])
    assert len(stage.balancer.endpoints.former_names) == 20 and not stage.balancer.servers
    assert ask(stage, f"9-{SERVERS[0]}", True)


def test_both_processes_of_an_upgrade_together_send_a_cold_server_no_more_than_one_would() -> None:
    def sent_to_cold(stages: list[Stage]) -> int:
        """Ten seconds of a hundred requests a second, dealt out in turn; one of four servers is cold."""
        until, count = stages[0].now + 10 * S, 0
        out: list[tuple[Stage, int]] = []
        cold = ListedServer("cold", zone="east", started_at=stages[0].now)
        for stage in stages:
            stage.servers([cold], ListKind.DELTA)
        while stages[0].now < until:
            for turn in stages:
                request = turn.request()
                count += bool(turn.sends(request)) and turn.target(request) == "cold"
                for stage in stages:
                    stage.wait(10 * MS)
                out.append((turn, request))
                if len(out) > 8:  # so many are in flight at any time
                    which, done = out.pop(0)
                    if which.sends(done):
                        which.end(done)
        return count

    def served(seed: int) -> Stage:
        stage = Stage(seed=seed)
        stage.servers(SERVERS)
        stage.serve(300, every_us=10 * MS)
        return stage

    for seed in range(5):
        alone = sent_to_cold([served(seed)])
        old, new = served(seed), Stage(seed=seed + 100, now=served(seed).now)
        new.servers(SERVERS)
        assert 0 < sent_to_cold([old, new]) <= 1.15 * alone, seed

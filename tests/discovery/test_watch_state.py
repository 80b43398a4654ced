"""The watch's state without sockets: what the next poll requests, and which lists are outdated."""

from __future__ import annotations

import pytest

from sidecar_balancer.discovery.watch_state import Poll, WatchState, full_list_poll


def state_of(version: int | None, random_fraction: float = 0.0) -> WatchState:
    return WatchState(version, lambda: random_fraction)


def test_without_a_list_the_full_list_is_polled() -> None:
    assert state_of(None).next_poll(has_relays=False) == full_list_poll()


def test_the_full_list_is_requested_without_a_query() -> None:
    assert full_list_poll().target == "/registry/instances"


def test_a_watch_requests_the_changes_since_its_version() -> None:
    assert state_of(41).next_poll(has_relays=False).target == "/registry/instances?after=41&wait_ms=1500"


@pytest.mark.parametrize(
    ("has_relays", "random_fraction", "poll"),
    [
        (False, 0.0, Poll(41, 1500, 2.5)),
        (False, 0.999, Poll(41, 2499, 3.499)),
        (True, 0.0, Poll(41, 1000, 2.0)),
        (True, 0.999, Poll(41, 1666, 2.666)),
    ],
)
def test_the_wait_of_a_poll_is_spread_within_bounds(
    has_relays: bool, random_fraction: float, poll: Poll
) -> None:
    assert state_of(41, random_fraction).next_poll(has_relays) == poll


@pytest.mark.parametrize(("has_relays", "timeout_s"), [(False, 2.1), (True, 1.1)])
def test_after_a_timeout_polls_wait_briefly_until_one_is_answered(has_relays: bool, timeout_s: float) -> None:
    state = state_of(41)
    state.record_poll(timed_out=True)
    for _ in range(2):
        poll = state.next_poll(has_relays)
        assert (poll.after, poll.wait_ms) == (41, 100)
        assert poll.timeout_s == pytest.approx(timeout_s)
    state.record_poll(timed_out=False)
    assert state.next_poll(has_relays).wait_ms >= 1000


def test_the_first_poll_at_another_source_waits_briefly() -> None:
    state = state_of(41)
    state.record_source_switch()
    assert state.next_poll(has_relays=True).wait_ms == 100
    assert state.next_poll(has_relays=True).wait_ms == 1000


def test_a_poll_draws_no_random_number_unless_its_wait_is_spread() -> None:
    draws: list[float] = []

    def draw() -> float:
        draws.append(0.5)
        return 0.5

    state = WatchState(None, draw)
    state.next_poll(has_relays=False)
    state.record_list(41, None)
    state.record_poll(timed_out=True)
    state.next_poll(has_relays=False)
    assert draws == []
    state.record_poll(timed_out=False)
    state.next_poll(has_relays=False)
    assert draws == [0.5]


def test_a_relay_is_sent_the_tag_and_the_age_of_the_current_list() -> None:
    state = state_of(41)
    state.record_as_of(as_of=100.0)
    state.record_list(42, '"tag"')
    headers = state.conditional_headers(state.next_poll(has_relays=True), now=100.75)
    assert headers == [("If-None-Match", '"tag"'), ("X-Source-Age-Ms", "750")]


def test_a_request_for_the_full_list_is_unconditional() -> None:
    state = state_of(41)
    state.record_as_of(as_of=100.0)
    state.record_list(42, '"tag"')
    assert state.conditional_headers(full_list_poll(), now=100.75) == []


@pytest.mark.parametrize(
    ("version", "as_of", "is_outdated"),
    [
        (50, 99.0, True),  # clearly older
        (50, 99.9, False),  # older within the tolerance, with a higher version
        (41, 99.9, True),  # older within the tolerance, with a lower version
        (41, 100.1, True),  # newer within the tolerance, with a lower version
        (41, 101.0, False),  # clearly newer: the registry's versions restarted
    ],
)
def test_a_list_is_outdated_by_its_time_or_within_the_tolerance_by_its_version(
    version: int, as_of: float, is_outdated: bool
) -> None:
    state = state_of(42)
    state.record_as_of(as_of=100.0)
    assert state.is_outdated(version, as_of) is is_outdated


def test_the_time_of_the_list_never_goes_back() -> None:
    state = state_of(42)
    state.record_as_of(as_of=100.0)
    state.record_as_of(as_of=99.0)
    assert state.as_of == 100.0


def test_a_reset_forgets_the_old_list_and_polls_for_the_full_list() -> None:
    state = state_of(42)
    state.record_as_of(as_of=100.0)
    state.record_list(43, '"tag"')
    state.reset()
    assert state.next_poll(has_relays=True) == full_list_poll()
    assert not state.is_outdated(1, as_of=0.0)
    state.record_list(1, None)
    assert state.next_poll(has_relays=True).wait_ms == 1000

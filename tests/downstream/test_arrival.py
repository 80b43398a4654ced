"""Estimates of when a client sent its input, from when it was read and what was left unread."""

from __future__ import annotations

import math
import socket
from collections.abc import Iterator

import pytest

from sidecar_balancer.downstream.arrival import ArrivalEstimate
from sidecar_balancer.runtime.queueing import PollTimes

READ_BYTES = 64 * 1024


@pytest.fixture
def arrival() -> Iterator[ArrivalEstimate]:
    """Provide the estimate of a connection from time 100 on, in a loop that polls it without delay."""
    ours, peers = socket.socketpair()  # not TCP, so that the age of the data is unknown
    with ours, peers:
        yield ArrivalEstimate(ours, PollTimes(math.inf), 100.0)


def test_input_that_is_read_as_it_arrives_was_sent_then(arrival: ArrivalEstimate) -> None:
    for at in (100.0, 101.0, 102.0):
        arrival.input_received(at, READ_BYTES, is_drained=False)
        arrival.input_received(at, 100, is_drained=True)
        assert arrival.unread_since is None
        assert arrival._arrived_at == at


# Guards against a deadline that starts anew with each piece that a slow server lets the sidecar read.
def test_input_behind_a_server_that_reads_in_pieces_may_have_been_sent_at_the_first_pause(
    arrival: ArrivalEstimate,
) -> None:
    arrival.input_received(100.0, READ_BYTES, is_drained=True)
    for paused_at in (100.0, 101.0, 102.0):
        arrival.reading_paused(paused_at)
        arrival.reading_resumed(paused_at + 0.9)
        arrival.input_received(paused_at + 0.9, READ_BYTES, is_drained=False)
        assert arrival.unread_since == 100.0
    arrival.input_received(102.91, 100, is_drained=True)
    assert arrival._arrived_at == 100.0


def test_after_a_pause_the_client_is_given_time_to_transmit_what_it_has(arrival: ArrivalEstimate) -> None:
    arrival.input_received(100.0, READ_BYTES, is_drained=True)
    arrival.reading_paused(101.0)
    arrival.reading_resumed(102.0)
    arrival.input_received(102.0, READ_BYTES, is_drained=True)
    assert arrival.unread_since == 101.0  # the client may have more that did not fit into the receive window
    arrival.input_received(102.2, 100, is_drained=True)
    assert arrival.unread_since == 101.0
    arrival.input_received(102.3, 100, is_drained=True)
    assert arrival.unread_since is None


def test_client_that_has_sent_nothing_during_a_pause_has_not_sent_its_last_byte(
    arrival: ArrivalEstimate,
) -> None:
    arrival.input_received(100.0, READ_BYTES, is_drained=True)
    arrival.reading_paused(101.0)
    arrival.input_drained(104.0)
    assert arrival.unread_since == 104.0
    arrival.reading_resumed(105.0)
    arrival.input_received(105.0, 100, is_drained=True)
    assert arrival.unread_since is None
    assert arrival._arrived_at == 104.0

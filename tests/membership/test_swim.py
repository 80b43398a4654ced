"""SWIM over a simulated lossy network: membership converges and verdicts spread."""

from __future__ import annotations

import pytest

from sidecar_balancer.membership import codec
from sidecar_balancer.membership.messages import (
    DatagramKind,
    MemberStatus,
    Message,
    VerdictScope,
    VerdictUpdate,
    WireVerdict,
)
from sidecar_balancer.membership.settings import MembershipSettings
from sidecar_balancer.membership.swim import Swim
from simulated_network import SimulatedNetwork

ONE_HOUR_US = 3_600_000_000
SERVER = "10.1.0.9:8443"


@pytest.fixture
def lossy_network() -> SimulatedNetwork:
    """Eight members with 30 % datagram loss, one of which has been down for 6 s."""
    network = SimulatedNetwork(8, loss=0.3, seed=4)
    network.run(3_000)
    network.down.add(5)
    network.run(6_000)
    return network


def test_a_stopped_member_is_suspect_or_dead_everywhere_under_loss(lossy_network: SimulatedNetwork) -> None:
    assert MemberStatus.ALIVE not in lossy_network.statuses(5)


def test_a_stopped_member_is_dead_and_all_others_alive_once_loss_ends(
    lossy_network: SimulatedNetwork,
) -> None:
    lossy_network.loss = 0.0
    lossy_network.run(6_000)
    assert lossy_network.statuses(5) == {MemberStatus.DEAD}
    assert all(lossy_network.statuses(member) == {MemberStatus.ALIVE} for member in range(8) if member != 5)


def test_a_restarted_member_refutes_the_death_of_its_earlier_run() -> None:
    network = SimulatedNetwork(5, seed=2)
    network.run(1_000)
    network.down.add(2)
    network.run(4_000)
    assert network.statuses(2) == {MemberStatus.DEAD}
    network.restart(2, 999)
    network.run(6_000)
    assert network.statuses(2) == {MemberStatus.ALIVE}
    assert network.members[2].members.incarnation > 0


def test_a_rejoining_member_receives_the_verdicts_published_in_its_absence() -> None:
    network = SimulatedNetwork(5, seed=12)
    network.run(500)
    network.down.add(2)
    network.publish(0, "s", WireVerdict.EJECTED, 1, 60_000)
    network.run(4_000)  # long enough that the verdict is no longer retransmitted
    assert network.statuses(2) == {MemberStatus.DEAD}
    network.restart(2, 77)
    network.run(3_000)
    assert network.agreeing_members(2, "s", WireVerdict.EJECTED) == 1


def test_the_sides_of_a_healed_partition_rejoin() -> None:
    network = SimulatedNetwork(6, seed=3)
    network.run(500)
    network.cut_links = {frozenset((one, other)) for one in range(3) for other in range(3, 6)}
    network.run(5_000)
    assert network.statuses(0) >= {MemberStatus.ALIVE, MemberStatus.DEAD}
    network.cut_links = set()
    network.run(15_000)
    assert all(network.statuses(member) == {MemberStatus.ALIVE} for member in range(6))


@pytest.fixture
def network_with_verdict() -> SimulatedNetwork:
    """Sixteen members with 10 % datagram loss, 3 s after member 7 published a verdict."""
    network = SimulatedNetwork(16, loss=0.1, seed=5)
    network.run(500)
    network.publish(7, SERVER, WireVerdict.EJECTED, 12, 30_000)
    network.run(3_000)
    return network


def test_a_verdict_reaches_every_member(network_with_verdict: SimulatedNetwork) -> None:
    network = network_with_verdict
    others = [member for member in range(16) if member != 7]
    assert all(network.agreeing_members(member, SERVER, WireVerdict.EJECTED) == 1 for member in others)


def test_a_member_that_repeats_its_verdict_counts_once(network_with_verdict: SimulatedNetwork) -> None:
    network = network_with_verdict
    for _ in range(50):
        network.publish(7, SERVER, WireVerdict.EJECTED, 12, 30_000)
    network.run(2_000)
    counts = [network.agreeing_members(member, SERVER, WireVerdict.EJECTED) for member in range(16)]
    assert max(counts) == 1


def test_clock_offsets_between_members_change_nothing() -> None:
    aligned, offset = SimulatedNetwork(6, seed=8), SimulatedNetwork(6, seed=8)
    offset.clock_offsets_us = [member * ONE_HOUR_US for member in range(6)]
    for network in (aligned, offset):
        network.run(500)
        network.publish(0, "s", WireVerdict.SLOW, 2, 30_000)
        network.down.add(3)
        network.run(6_000)
    aligned_views = [member.members.view() for member in aligned.members]
    assert aligned_views == [member.members.view() for member in offset.members]
    assert all(offset.agreeing_members(member, "s", WireVerdict.SLOW) == 1 for member in (1, 2, 4, 5))


def test_a_replayed_datagram_does_not_restore_an_older_verdict() -> None:
    network = SimulatedNetwork(3, seed=9)
    network.run(500)
    network.publish(0, "s", WireVerdict.EJECTED, 1, 2_000)
    network.run(1_000)
    older = VerdictUpdate(0, 0, 1, "s", WireVerdict.EJECTED, 1, 2_000)
    receiver = network.members[1]
    assert receiver.verdicts.matching(network.clock(1), "s", WireVerdict.EJECTED) == [older]
    replayed = codec.encode(Message(DatagramKind.PING, 0, 5), [older]).data
    network.publish(0, "s", WireVerdict.CLEARED, 1, 2_000)
    network.run(1_000)
    for _ in range(3):
        receiver.receive(network.clock(1), 0, replayed)
    assert receiver.tier_view.disabled_servers(network.clock(1)) == frozenset()
    assert receiver.verdicts.stale_count >= 3


@pytest.mark.parametrize(("quorum", "disabled_count"), [(1, 4), (2, 0)])
def test_one_faulty_peer_disables_at_most_as_many_servers_as_allowed(
    quorum: int, disabled_count: int
) -> None:
    settings = MembershipSettings(ban_quorum=quorum, ban_most=4)
    network = SimulatedNetwork(5, seed=6, settings=settings)
    network.run(500)
    faulty = network.members[4]
    for number in range(10):
        scope = VerdictScope.DISABLED_SERVER
        faulty.publish(network.clock(4), f"s{number}", WireVerdict.DISABLED, 1, 30_000, scope)
    network.run(2_000)
    disabled = [network.members[member].tier_view.disabled_servers(network.now_us) for member in range(4)]
    assert all(len(servers) == disabled_count for servers in disabled)


def test_malformed_datagrams_and_unknown_senders_are_counted_and_change_nothing() -> None:
    member = Swim(0, 3, 1)
    for malformed in (b"\xff" * 300, b"\x93\x01"):
        assert member.receive(0, 1, malformed) == []
    for sender in (9, 0):
        assert member.receive(0, sender, b"") == []
    assert member.counters.dropped == {"malformed": 2, "sender": 2}
    assert member.members.view() == {1: (MemberStatus.ALIVE, 0), 2: (MemberStatus.ALIVE, 0)}

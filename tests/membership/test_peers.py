"""The peer plane's contract, in one process: the codec's bounds, SWIM's verdicts over a lossy network."""

from __future__ import annotations

import random

import msgpack  # type: ignore[import-untyped]
from hypothesis import given
from hypothesis import strategies as st

from sidecar_balancer.membership import codec
from sidecar_balancer.membership.codec import (
    Kind,
    MalformedDatagramError,
    Message,
    Status,
    VerdictUpdate,
    WireVerdict,
)
from sidecar_balancer.membership.settings import MembershipSettings
from sidecar_balancer.membership.swim import Swim
from sidecar_balancer.membership.verdict_table import VerdictTable
from simnet import SimNet as Net

MS = 1000


def test_a_message_comes_back_as_it_went() -> None:
    update = VerdictUpdate(3, 2, 9, "10.0.0.1:80", WireVerdict.SLOW, 4, 1500)
    data, taken = codec.encode(Message(Kind.PING_REQ, 5, 77, 2), [update] * 40)
    assert 0 < taken < 40 and len(data) <= codec.DATAGRAM_MOST
    back = codec.decode(data)
    assert (back.kind, back.incarnation, back.seq, back.target) == (Kind.PING_REQ, 5, 77, 2)
    assert back.updates == (update,) * taken


@given(st.binary(max_size=400))
def test_any_bytes_decode_or_are_refused(data: bytes) -> None:
    try:
        message = codec.decode(data)
    except MalformedDatagramError:
        return
    assert len(data) <= codec.DATAGRAM_MOST and isinstance(message, Message)


@given(st.lists(st.integers(-(2**40), 2**40) | st.text(max_size=80), max_size=12))
def test_wrong_fields_are_refused(fields: list[object]) -> None:
    data = msgpack.packb([codec.VERSION, 0, 0, 0, -1, [[1, *fields]]])
    try:
        codec.decode(data)
    except MalformedDatagramError:
        return
    raise AssertionError("a verdict of wrong fields was taken")


def test_merging_verdicts_is_order_free_and_bounded() -> None:
    updates = [
        VerdictUpdate(o, i, c, f"s{o % 3}", WireVerdict.EJECTED, 1, 5000)
        for o in range(4)
        for i in range(2)
        for c in range(3)
    ]
    tables = []
    for seed in range(3):
        table, shuffled = VerdictTable(100), list(updates) * 2
        random.Random(seed).shuffle(shuffled)
        for each in shuffled:
            table.take(0, each)
        tables.append(sorted((u.origin, u.server, u.incarnation, u.counter) for u, _ in table.live(0)))
    assert tables[0] == tables[1] == tables[2] and len(tables[0]) == 4
    small = VerdictTable(2)
    for origin in range(5):
        small.take(origin * MS, VerdictUpdate(origin, 0, 1, "s", WireVerdict.REJECTING, 1, 1000 + origin))
    assert len(small) == 2 and small.evicted == 3


def test_a_dead_member_is_found_under_loss_and_false_deaths_heal() -> None:
    net = Net(8, loss=0.3, seed=4)
    net.run(3_000)
    net.down.add(5)
    net.run(6_000)
    assert Status.ALIVE not in net.statuses(5)
    net.loss = 0.0
    net.run(6_000)
    assert net.statuses(5) == {Status.DEAD}
    assert all(net.statuses(each) == {Status.ALIVE} for each in range(8) if each != 5)


def test_a_restarted_member_outbids_its_old_death() -> None:
    net = Net(5, seed=2)
    net.run(1_000)
    net.down.add(2)
    net.run(4_000)
    assert net.statuses(2) == {Status.DEAD}
    net.restart(2, 999)  # same number, nothing remembered
    net.run(6_000)
    assert net.statuses(2) == {Status.ALIVE} and net.members[2].incarnation > 0


def test_a_member_back_from_the_dead_is_told_the_verdicts_it_missed() -> None:
    net = Net(5, seed=12)
    net.run(500)
    net.down.add(2)
    net.members[0].publish(net.clock(0), "s", WireVerdict.EJECTED, 1, 60_000)
    net.run(4_000)  # told to the others while 2 was away; its retransmits are spent
    assert net.statuses(2) == {Status.DEAD}
    net.restart(2, 77)
    net.run(3_000)
    assert net.members[2].agreeing(net.clock(2), "s", WireVerdict.EJECTED) == 1


def test_a_healed_partition_joins_again() -> None:
    net = Net(6, seed=3)
    net.run(500)
    net.cut = {frozenset((a, b)) for a in range(3) for b in range(3, 6)}
    net.run(5_000)
    assert net.statuses(0) >= {Status.ALIVE, Status.DEAD}
    net.cut = set()
    net.run(15_000)
    assert all(net.statuses(each) == {Status.ALIVE} for each in range(6))


def test_a_verdict_reaches_every_member_and_a_liar_stays_one_voice() -> None:
    net = Net(16, loss=0.1, seed=5)
    net.run(500)
    net.members[7].publish(net.now, "10.1.0.9:8443", WireVerdict.EJECTED, 12, 30_000)
    net.run(3_000)
    assert all(
        each.agreeing(net.now, "10.1.0.9:8443", WireVerdict.EJECTED) == 1
        for i, each in enumerate(net.members)
        if i != 7
    )
    for _ in range(50):  # a member that says it again and again is counted once
        net.members[7].publish(net.now, "10.1.0.9:8443", WireVerdict.EJECTED, 12, 30_000)
    net.run(2_000)
    assert max(each.agreeing(net.now, "10.1.0.9:8443", WireVerdict.EJECTED) for each in net.members) == 1


def test_clocks_far_apart_change_nothing() -> None:
    plain, skewed = Net(6, seed=8), Net(6, seed=8)
    skewed.skew_us = [each * 3_600_000_000 for each in range(6)]  # an hour apart each
    for net in (plain, skewed):
        net.run(500)
        net.members[0].publish(net.clock(0), "s", WireVerdict.SLOW, 2, 30_000)
        net.down.add(3)
        net.run(6_000)
    assert [m.view() for m in plain.members] == [m.view() for m in skewed.members]
    assert all(
        skewed.members[each].agreeing(skewed.clock(each), "s", WireVerdict.SLOW) == 1 for each in (1, 2, 4, 5)
    )


def test_datagrams_heard_again_later_bring_back_nothing() -> None:
    net = Net(3, seed=9)
    net.run(500)
    net.members[0].publish(net.clock(0), "s", WireVerdict.EJECTED, 1, 2_000)
    net.run(1_000)
    old = VerdictUpdate(0, 0, 1, "s", WireVerdict.EJECTED, 1, 2_000)
    assert net.members[1].verdicts.holding(net.clock(1), "s", WireVerdict.EJECTED) == [old]
    replay, _ = codec.encode(Message(Kind.PING, 0, 5), [old])
    net.members[0].publish(net.clock(0), "s", WireVerdict.CLEARED, 1, 2_000)
    net.run(1_000)
    for _ in range(3):  # heard again while the newer verdict is held: the older one is not taken
        net.members[1].receive(net.clock(1), 0, replay)
    assert net.members[1].tier_disabled(net.clock(1)) == frozenset() and net.members[1].verdicts.stale >= 3


def test_a_lying_peer_bans_no_more_than_its_bound() -> None:
    for quorum, most in ((1, 4), (2, 4)):
        net = Net(5, seed=6, tuning=MembershipSettings(ban_quorum=quorum, ban_most=most))
        net.run(500)
        for number in range(10):
            net.members[4].publish(net.clock(4), f"s{number}", WireVerdict.DISABLED, 1, 30_000, codec.BAN)
        net.run(2_000)
        banned = [net.members[each].tier_disabled(net.now) for each in range(4)]
        assert all(len(each) == (most if quorum == 1 else 0) for each in banned)


def test_garbage_from_a_member_is_counted_not_taken() -> None:
    member = Swim(0, 3, 1)
    assert member.receive(0, 1, b"\xff" * 300) == [] and member.receive(0, 1, b"\x93\x01") == []
    assert member.receive(0, 9, b"") == [] and member.receive(0, 0, b"") == []
    assert member.counts.dropped == {"malformed": 2, "sender": 2}
    assert member.view() == {1: (Status.ALIVE, 0), 2: (Status.ALIVE, 0)}


def test_bad_tuning_is_refused() -> None:
    for bad in ({"probe_timeout_ms": 500}, {"indirect": 0}, {"suspicion_mult": 0.5}):
        try:
            MembershipSettings(**bad)
        except ValueError:
            continue
        raise AssertionError(f"{bad} was taken")

"""The lease protocol: the explorer finds no overlap within its bound, and finds one when the margin goes."""

from __future__ import annotations

import pytest

from lease_explorer import Bound, explore
from sidecar_balancer.lease.protocol import Fence, Kind, LeaseProtocol, LeaseTiming, Message

TERMS = LeaseTiming(term_us=3_000, renew_us=1_000, skew_us=100, retry_us=250)


def test_the_explorer_finds_no_two_holders_within_its_bound() -> None:
    found = explore(Bound(ticks=4))
    print(f"{found.states} states, {found.transitions} transitions, {found.handovers} handovers")
    assert found.violation == "", found.trace
    assert found.handovers > 0 and found.deepest == 4  # it saw the duty pass from one to another


def test_without_the_skew_margin_the_explorer_finds_two_holders() -> None:
    no_margin = LeaseTiming(term_us=4, renew_us=1, skew_us=0, retry_us=2)
    found = explore(Bound(ticks=7, terms=no_margin), check_liveness=False)
    assert found.violation.startswith("two holders"), found.states


def test_a_majority_grants_and_the_token_fences_older_acts() -> None:
    members = [LeaseProtocol(me, 3, 1, TERMS, started=-10_000) for me in range(3)]
    for lease in members:
        lease.table[0].learned = frozenset({0, 1, 2} - {lease.me})
    first = next(lease for lease in members if lease.tick(0, [0, 1, 2]))
    asks = first.tick(300, [0, 1, 2])  # the first ask timed out unanswered: it asks again
    replies = [(target, members[target].receive(300, first.me, ask)) for target, ask in asks]
    for target, sent in replies:
        for _, reply in sent:
            first.receive(310, target, reply)
    token = first.holds(0, 310)
    assert token >= 1 and first.holds(0, 300 + TERMS.held_us) == 0
    fence = Fence()
    assert fence.admit(0, token + 1) and not fence.admit(0, token) and fence.refused == 1


def test_a_member_that_just_started_grants_nothing_before_it_learned_which_epochs_went_out() -> None:
    fresh = LeaseProtocol(1, 3, 1, TERMS, started=0, life=40)
    [(_, reply)] = fresh.receive(10, 0, Message(Kind.ASK, 0, 1, 1))
    assert reply.kind is Kind.REFUSE
    later = TERMS.term_us + 2 * TERMS.skew_us
    [(_, reply)] = fresh.receive(later, 0, Message(Kind.ASK, 0, 2, 2))
    assert reply.kind is Kind.REFUSE
    assert {to for to, sent in fresh.tick(later, []) if sent == Message(Kind.LEARN, 0, 0, 40)} == {0, 2}
    fresh.receive(later, 0, Message(Kind.TOLD, 0, 7, 40))
    fresh.receive(later, 2, Message(Kind.TOLD, 0, 3, 39))  # an answer to an earlier life
    assert not fresh.knows(0)
    fresh.receive(later, 2, Message(Kind.TOLD, 0, 3, 40))
    [(_, reply)] = fresh.receive(later, 0, Message(Kind.ASK, 0, 7, 3))
    assert reply == Message(Kind.REFUSE, 0, 7, 3)
    [(_, reply)] = fresh.receive(later, 0, Message(Kind.ASK, 0, 8, 4))
    assert reply.kind is Kind.GRANT


STEADY = Bound(ticks=5, crashes=1, drift=0, drift_steps=0, in_flight=2, terms=LeaseTiming(3, 1, 0, 2))


def test_a_crash_does_not_give_an_epoch_out_twice() -> None:
    found = explore(STEADY)
    assert found.violation == "", found.trace
    assert found.handovers > 0


def test_without_learning_what_went_out_the_explorer_finds_an_epoch_given_out_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(LeaseProtocol, "knows", lambda *_: True)
    assert "holds token" in explore(STEADY).violation

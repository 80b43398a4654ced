"""The forms of single messages: events as they are read, actions as they are written."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from sidecar_balancer.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    FetchEndpoints,
    HealthCheck,
    LogEvent,
    Reject,
    SendAttempt,
    SendPeerMessage,
    SetTimer,
    WatchEndpoints,
)
from sidecar_balancer.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    HealthCheckEnded,
    ListedServer,
    PeerMessageReceived,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from sidecar_balancer.simulator.errors import WireFormatError
from sidecar_balancer.simulator.fields import (
    read_flag,
    read_integer,
    read_number,
    read_optional_integer,
    read_payload,
    read_report,
    read_term,
    read_text,
)
from sidecar_balancer.simulator.wire import (
    ALL_PEERS,
    EMPTY_TENANT,
    OUTCOMES,
    SERVER_STATES,
    InputMessage,
    OutputMessage,
    RequestFlags,
)

_LISTED_SERVER_VALUES_MIN = 6
_ERROR_TEXT_MAX = 500  # characters


class EventReader(NamedTuple):
    """How one kind of event is read from a message."""

    values_min: int  # the message's name included
    read: Callable[[list[Any]], Event]


def read_listed_server(entry: object) -> ListedServer:
    """Read an entry of an endpoint list.  Raises WireFormatError."""
    if not isinstance(entry, list) or len(entry) < _LISTED_SERVER_VALUES_MIN:
        raise WireFormatError("an entry of a server list has at least 6 values")
    name, zone, kind, cell, state, nominal, *further = entry
    nominal = read_number(nominal, "a nominal figure")
    started_at = read_optional_integer(further[0]) if further else None
    return ListedServer(
        server=read_text(name),
        zone=read_text(zone),
        kind=read_text(kind),
        cell=read_integer(cell),
        state=read_term(state, SERVER_STATES),
        nominal=nominal,
        started_at=started_at or None,
    )


def _read_request(message: list[Any]) -> Event:
    _, _, request, service_class, tenant, key, remaining_us, cost_us, flags, *_ = message
    flags = RequestFlags(read_integer(flags))
    return RequestReceived(
        request=read_integer(request),
        service_class=read_text(service_class),
        tenant=None if tenant is None or tenant == EMPTY_TENANT else read_text(tenant),
        key=read_optional_integer(key),
        remaining_us=read_integer(remaining_us),
        cost_us=read_optional_integer(cost_us) if RequestFlags.COST_VALID in flags else None,
        client_retry=RequestFlags.CLIENT_RETRY in flags,
        write=RequestFlags.WRITE in flags,
    )


def _read_response_started(message: list[Any]) -> Event:
    _, _, request, attempt, elapsed_us, server, *_ = message
    return ResponseStarted(
        request=read_integer(request),
        attempt=read_integer(attempt),
        server=read_text(server),
        elapsed_us=read_integer(elapsed_us),
    )


def _read_attempt_ended(message: list[Any]) -> Event:
    _, _, request, attempt, server, outcome, elapsed_us, answered, *further = message
    return AttemptEnded(
        request=read_integer(request),
        attempt=read_integer(attempt),
        server=read_text(server),
        outcome=read_term(outcome, OUTCOMES),
        elapsed_us=read_integer(elapsed_us),
        answered=read_flag(answered),
        report=read_report(further[0]) if further else None,
    )


def _read_health_check_ended(message: list[Any]) -> Event:
    _, _, elapsed_us, outcome, server, *further = message
    report = read_report(further[0]) if further else None
    return HealthCheckEnded(
        server=read_text(server),
        outcome=read_term(outcome, OUTCOMES),
        elapsed_us=read_integer(elapsed_us),
        report=report,
    )


def _read_client_disconnected(message: list[Any]) -> Event:
    return ClientDisconnected(read_integer(message[2]))


def _read_timer_fired(message: list[Any]) -> Event:
    return TimerFired(read_text(message[2]))


def _read_peer_message(message: list[Any]) -> Event:
    return PeerMessageReceived(read_integer(message[2]), read_payload(message[3]))


EVENT_READERS = {
    InputMessage.REQUEST: EventReader(9, _read_request),
    InputMessage.RESPONSE_STARTED: EventReader(6, _read_response_started),
    InputMessage.ATTEMPT_ENDED: EventReader(8, _read_attempt_ended),
    InputMessage.CLIENT_DISCONNECTED: EventReader(3, _read_client_disconnected),
    InputMessage.TIMER_FIRED: EventReader(3, _read_timer_fired),
    InputMessage.HEALTH_CHECK_ENDED: EventReader(5, _read_health_check_ended),
    InputMessage.PEER_MESSAGE: EventReader(4, _read_peer_message),
}


class ActionForm(NamedTuple):
    """How one kind of action is written, after the instance's name."""

    name: OutputMessage
    fields: tuple[str, ...]


ACTION_FORMS: dict[type[Any], ActionForm] = {
    SendAttempt: ActionForm(OutputMessage.SEND_ATTEMPT, ("request", "server", "deadline")),
    Reject: ActionForm(OutputMessage.REJECT, ("request", "retry_after_us")),
    Fail: ActionForm(OutputMessage.FAIL, ("request",)),
    CancelAttempt: ActionForm(OutputMessage.CANCEL_ATTEMPT, ("request", "attempt")),
    SetTimer: ActionForm(OutputMessage.SET_TIMER, ("delay_us", "token")),
    HealthCheck: ActionForm(OutputMessage.HEALTH_CHECK, ("server",)),
    CloseIdleConnections: ActionForm(OutputMessage.CLOSE_IDLE_CONNECTIONS, ("server",)),
    SendPeerMessage: ActionForm(OutputMessage.SEND_PEER_MESSAGE, ("receiver", "payload")),
    WatchEndpoints: ActionForm(OutputMessage.WATCH_ENDPOINTS, ("enabled",)),
    FetchEndpoints: ActionForm(OutputMessage.FETCH_ENDPOINTS, ()),
    LogEvent: ActionForm(OutputMessage.LOG_EVENT, ("text",)),
}


def write_action(instance: str, action: Action) -> str:
    """An action of the named instance as a line."""
    form = ACTION_FORMS[type(action)]
    values = [getattr(action, field) for field in form.fields]
    if isinstance(action, SendPeerMessage):
        values = [ALL_PEERS if action.receiver is None else action.receiver, action.payload.hex()]
    return json.dumps([form.name, instance, *values], separators=(",", ":"))


def write_internal_error(instance: str, error: Exception) -> str:
    """A defect of the decisions as a line."""
    text = f"{type(error).__name__}: {error}"[:_ERROR_TEXT_MAX]
    return json.dumps([OutputMessage.INTERNAL_ERROR, instance, text])

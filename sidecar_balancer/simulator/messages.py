"""Formats of single messages: reading of events and writing of actions."""

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
    read_boolean,
    read_enum_value,
    read_integer,
    read_load_report,
    read_number,
    read_optional_integer,
    read_payload,
    read_string,
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

_MIN_LISTED_SERVER_VALUES = 6
_MAX_ERROR_LENGTH = 500  # in characters


class EventReader(NamedTuple):
    """The reader of one kind of event."""

    min_values: int  # number of values, including the message's name
    read: Callable[[list[Any]], Event]


def read_listed_server(entry: object) -> ListedServer:
    """Read an entry of an endpoint list.

    Raises:
        WireFormatError: If the entry has too few values or a value of another type.
    """
    if not isinstance(entry, list) or len(entry) < _MIN_LISTED_SERVER_VALUES:
        raise WireFormatError("expected at least 6 values in an entry of an endpoint list")
    name, zone, kind, cell, state, nominal, *optional_values = entry
    nominal = read_number(nominal, "a nominal figure")
    started_at = read_optional_integer(optional_values[0]) if optional_values else None
    return ListedServer(
        server=read_string(name),
        zone=read_string(zone),
        kind=read_string(kind),
        cell=read_integer(cell),
        state=read_enum_value(state, SERVER_STATES),
        nominal=nominal,
        started_at=started_at or None,
    )


def _read_request(message: list[Any]) -> Event:
    _, _, request, service_class, tenant, key, remaining_us, cost_us, flags, *_ = message
    flags = RequestFlags(read_integer(flags))
    return RequestReceived(
        request=read_integer(request),
        service_class=read_string(service_class),
        tenant=None if tenant is None or tenant == EMPTY_TENANT else read_string(tenant),
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
        server=read_string(server),
        elapsed_us=read_integer(elapsed_us),
    )


def _read_attempt_ended(message: list[Any]) -> Event:
    _, _, request, attempt, server, outcome, elapsed_us, answered, *optional_values = message
    return AttemptEnded(
        request=read_integer(request),
        attempt=read_integer(attempt),
        server=read_string(server),
        outcome=read_enum_value(outcome, OUTCOMES),
        elapsed_us=read_integer(elapsed_us),
        answered=read_boolean(answered),
        report=read_load_report(optional_values[0]) if optional_values else None,
    )


def _read_health_check_ended(message: list[Any]) -> Event:
    _, _, elapsed_us, outcome, server, *optional_values = message
    report = read_load_report(optional_values[0]) if optional_values else None
    return HealthCheckEnded(
        server=read_string(server),
        outcome=read_enum_value(outcome, OUTCOMES),
        elapsed_us=read_integer(elapsed_us),
        report=report,
    )


def _read_client_disconnected(message: list[Any]) -> Event:
    return ClientDisconnected(read_integer(message[2]))


def _read_timer_fired(message: list[Any]) -> Event:
    return TimerFired(read_string(message[2]))


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


class ActionFormat(NamedTuple):
    """The format of one kind of action: the message's name, and the fields after the instance's name."""

    name: OutputMessage
    fields: tuple[str, ...]


ACTION_FORMATS: dict[type[Any], ActionFormat] = {
    SendAttempt: ActionFormat(OutputMessage.SEND_ATTEMPT, ("request", "server", "deadline")),
    Reject: ActionFormat(OutputMessage.REJECT, ("request", "retry_after_us")),
    Fail: ActionFormat(OutputMessage.FAIL, ("request",)),
    CancelAttempt: ActionFormat(OutputMessage.CANCEL_ATTEMPT, ("request", "attempt")),
    SetTimer: ActionFormat(OutputMessage.SET_TIMER, ("delay_us", "token")),
    HealthCheck: ActionFormat(OutputMessage.HEALTH_CHECK, ("server",)),
    CloseIdleConnections: ActionFormat(OutputMessage.CLOSE_IDLE_CONNECTIONS, ("server",)),
    SendPeerMessage: ActionFormat(OutputMessage.SEND_PEER_MESSAGE, ("receiver", "payload")),
    WatchEndpoints: ActionFormat(OutputMessage.WATCH_ENDPOINTS, ("enabled",)),
    FetchEndpoints: ActionFormat(OutputMessage.FETCH_ENDPOINTS, ()),
    LogEvent: ActionFormat(OutputMessage.LOG_EVENT, ("text",)),
}


def write_action(instance: str, action: Action) -> str:
    """Return an action of the named instance as a line."""
    action_format = ACTION_FORMATS[type(action)]
    values = [getattr(action, field) for field in action_format.fields]
    if isinstance(action, SendPeerMessage):
        values = [ALL_PEERS if action.receiver is None else action.receiver, action.payload.hex()]
    return json.dumps([action_format.name, instance, *values], separators=(",", ":"))


def write_internal_error(instance: str, error: Exception) -> str:
    """Return an exception raised by a balancer as a line."""
    text = f"{type(error).__name__}: {error}"[:_MAX_ERROR_LENGTH]
    return json.dumps([OutputMessage.INTERNAL_ERROR, instance, text])

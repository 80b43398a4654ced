"""Adapter between the simulator's batches of events and balancers; it makes no decisions itself."""

from __future__ import annotations

import json
from typing import Any

from sidecar_balancer.config.wire_names import settings_from_wire
from sidecar_balancer.policy.actions import PublishServerVerdict, PublishZoneVerdict
from sidecar_balancer.policy.balancer import Balancer
from sidecar_balancer.policy.events import EndpointListReceived, Event, ListedServer
from sidecar_balancer.policy.types import ListKind
from sidecar_balancer.simulator.errors import WireFormatError
from sidecar_balancer.simulator.fields import read_enum_value, read_integer, read_string
from sidecar_balancer.simulator.messages import (
    EVENT_READERS,
    read_listed_server,
    write_action,
    write_internal_error,
)
from sidecar_balancer.simulator.wire import LIST_KINDS, InputMessage, OutputMessage

_INSTANCE_MESSAGE_NAMES = (
    InputMessage.INSTANCE_START,
    InputMessage.INSTANCE_END,
    InputMessage.ENDPOINT_LIST,
    *EVENT_READERS,
)
_OMITTED_ACTIONS = (PublishServerVerdict, PublishZoneVerdict)  # the simulator's peers share no verdicts


class SimulatorAdapter:
    """Host of independent balancers, by instance name, which share only the endpoint lists and the clock."""

    def __init__(self) -> None:
        self._balancers: dict[str, Balancer] = {}
        self._lists: dict[int, list[ListedServer]] = {}
        self._now = 0
        self._in_batch = False
        self._reply: list[str] = []

    def handle_line(self, text: str) -> list[str] | None:
        """Handle one line of input.

        Returns:
            The lines of the reply at the end of a batch, otherwise None.

        Raises:
            WireFormatError: If the wire format does not allow this line here.
        """
        message = _parse(text)
        name = message[0]
        if name == InputMessage.BATCH_START:
            self._start_batch(message)
            return None
        if not self._in_batch:
            raise WireFormatError(f"{name!r:.60} outside a batch")
        if name == InputMessage.BATCH_END:
            self._in_batch = False
            return [*self._reply, json.dumps([OutputMessage.BATCH_DONE])]
        if name == InputMessage.LISTED_SERVERS:
            self._store_list(message)
        else:
            self._handle_instance_message(name, message)
        return None

    def _start_batch(self, message: list[Any]) -> None:
        if self._in_batch:
            raise WireFormatError(f"{message[0]} inside a batch")
        _require_values(message, 2)
        self._now, self._in_batch, self._reply = read_integer(message[1]), True, []

    def _store_list(self, message: list[Any]) -> None:
        _require_values(message, 3)
        if not isinstance(message[2], list):
            raise WireFormatError(f"expected the entries of {message[0]} to be an array")
        self._lists[read_integer(message[1])] = [read_listed_server(entry) for entry in message[2]]

    def _handle_instance_message(self, name: object, message: list[Any]) -> None:
        if not isinstance(name, str) or name not in _INSTANCE_MESSAGE_NAMES:
            raise WireFormatError(f"unknown message {name!r:.60}")
        _require_values(message, 2)
        instance = read_string(message[1])
        if name == InputMessage.INSTANCE_START:
            self._start_instance(instance, message)
            return
        balancer = self._balancers.get(instance)
        if balancer is None:
            raise WireFormatError(f"{name} for unknown instance {instance!r:.60}")
        if name == InputMessage.INSTANCE_END:
            del self._balancers[instance]
        elif name == InputMessage.ENDPOINT_LIST:
            _require_values(message, 5)
            self._handle_event(instance, balancer, self._endpoint_list(message))
        else:
            reader = EVENT_READERS[InputMessage(name)]
            _require_values(message, reader.min_values)
            self._handle_event(instance, balancer, reader.read(message))

    def _start_instance(self, instance: str, message: list[Any]) -> None:
        _require_values(message, 4)
        try:
            settings = settings_from_wire(message[3])
            self._balancers[instance] = Balancer(settings, read_integer(message[2]))
        except ValueError as error:
            raise WireFormatError(f"settings: {error}") from None

    def _endpoint_list(self, message: list[Any]) -> EndpointListReceived:
        kind = read_enum_value(message[2], LIST_KINDS)
        if kind is ListKind.FAILED:
            return EndpointListReceived(kind)
        entries = self._lists.get(read_integer(message[3]))
        if entries is None:
            raise WireFormatError(f"{message[0]} refers to unknown list {message[3]}")
        return EndpointListReceived(kind, entries, read_integer(message[4]))

    def _handle_event(self, instance: str, balancer: Balancer, event: Event) -> None:
        try:
            actions = balancer.handle(self._now, event)
        except Exception as error:  # reported to the simulator as INTERNAL_ERROR
            self._reply.append(write_internal_error(instance, error))
            return
        for action in actions:
            if not isinstance(action, _OMITTED_ACTIONS):
                self._reply.append(write_action(instance, action))


def _parse(text: str) -> list[Any]:
    try:
        message = json.loads(text)
    except (ValueError, RecursionError):
        raise WireFormatError("line is not valid JSON") from None
    if not isinstance(message, list) or not message:
        raise WireFormatError("expected a message: an array that starts with its name")
    return message


def _require_values(message: list[Any], count: int) -> None:
    """Raise WireFormatError if the message has fewer than `count` values, its name included."""
    if len(message) < count:
        raise WireFormatError(f"{message[0]}: expected at least {count - 1} values, got {len(message) - 1}")

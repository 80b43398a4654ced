"""Readers of single values of a message; each raises WireFormatError for a value of another type."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

from sidecar_balancer.simulator.errors import WireFormatError

_Member = TypeVar("_Member")


def read_integer(value: object) -> int:
    """Return an integer."""
    if type(value) is not int:
        raise WireFormatError(f"expected an integer, got {value!r:.60}")
    return value


def read_optional_integer(value: object) -> int | None:
    """Return an integer, or None for null."""
    return None if value is None else read_integer(value)


def read_number(value: object, name: str) -> float:
    """Return a number; `name` is its name in the error."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise WireFormatError(f"expected {name} to be a number")
    return float(value)


def read_string(value: object) -> str:
    """Return a string."""
    if type(value) is not str:
        raise WireFormatError(f"expected a string, got {value!r:.60}")
    return value


def read_boolean(value: object) -> bool:
    """Return a boolean."""
    if type(value) is not bool:
        raise WireFormatError(f"expected true or false, got {value!r:.60}")
    return value


def read_enum_value(value: object, members: Mapping[str, _Member]) -> _Member:
    """Return the enum member that a string of the wire format stands for."""
    if not isinstance(value, str) or value not in members:
        raise WireFormatError(f"unknown value {value!r:.60}")
    return members[value]


def read_load_report(value: object) -> Mapping[str, float] | None:
    """Return a load report, or None for null."""
    if value is None:
        return None
    if not isinstance(value, dict):
        raise WireFormatError("expected a load report to be an object")
    for number in value.values():
        if isinstance(number, bool) or not isinstance(number, (int, float)):
            raise WireFormatError(f"expected a number in a load report, got {number!r:.60}")
    return value


def read_payload(value: object) -> bytes:
    """Return the bytes that a string of hexadecimal digits stands for."""
    try:
        return bytes.fromhex(read_string(value))
    except ValueError:
        raise WireFormatError("expected hexadecimal digits") from None

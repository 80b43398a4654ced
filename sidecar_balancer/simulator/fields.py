"""Readers of single values in a message; each raises WireFormatError for a value of another type."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

from sidecar_balancer.simulator.errors import WireFormatError

_Term = TypeVar("_Term")


def read_integer(value: object) -> int:
    """A whole number."""
    if type(value) is not int:
        raise WireFormatError(f"a whole number is needed, not {value!r:.60}")
    return value


def read_optional_integer(value: object) -> int | None:
    """A whole number or null."""
    return None if value is None else read_integer(value)


def read_number(value: object, name: str) -> float:
    """A number, named in the error."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise WireFormatError(f"{name} must be a number")
    return float(value)


def read_text(value: object) -> str:
    """A string."""
    if type(value) is not str:
        raise WireFormatError(f"a text is needed, not {value!r:.60}")
    return value


def read_flag(value: object) -> bool:
    """True or false."""
    if type(value) is not bool:
        raise WireFormatError(f"true or false is needed, not {value!r:.60}")
    return value


def read_term(value: object, terms: Mapping[str, _Term]) -> _Term:
    """The project's term for one of the wire's words."""
    if not isinstance(value, str) or value not in terms:
        raise WireFormatError(f"unknown word {value!r:.60}")
    return terms[value]


def read_report(value: object) -> Mapping[str, float] | None:
    """A load report or null."""
    if value is None:
        return None
    if not isinstance(value, dict):
        raise WireFormatError("a load report must be an object")
    for figure in value.values():
        if isinstance(figure, bool) or not isinstance(figure, (int, float)):
            raise WireFormatError(f"a load report holds numbers, not {figure!r:.60}")
    return value


def read_payload(value: object) -> bytes:
    """Bytes as hexadecimal digits."""
    try:
        return bytes.fromhex(read_text(value))
    except ValueError:
        raise WireFormatError("hex digits are needed") from None

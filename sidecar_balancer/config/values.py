"""Typed reader of configuration mappings, whose errors name the invalid key."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from enum import Enum
from typing import Any, TypeVar

from sidecar_balancer.addresses import Address, parse_address

_EnumT = TypeVar("_EnumT", bound=Enum)
_LARGEST_EXACT_INTEGER = 2**53  # larger JSON numbers may have lost digits


class ConfigurationError(ValueError):
    """An invalid configuration value; the message names its key."""


def read_address(value: object, key: str) -> Address:
    """Return an address `host:port`; raises a ConfigurationError that names `key`."""
    if not isinstance(value, str):
        raise ConfigurationError(f"{key}: expected an address host:port, got {value!r:.60}")
    try:
        return parse_address(value)
    except ValueError as error:
        raise ConfigurationError(f"{key}: {error}") from None


class ValueReader:
    """Typed access to one mapping, with errors that name the path of the key.

    A null counts as absent unless a method says otherwise.  Every method raises ConfigurationError.
    """

    def __init__(self, raw: object, path: str, prefix: str | None = None) -> None:
        """Read `raw`, found at `path`; errors put `prefix`, by default the path and a dot, before keys."""
        if not isinstance(raw, Mapping):
            raise ConfigurationError(f"{path}: expected a mapping, got {type(raw).__name__}")
        self._raw = raw
        self._prefix = f"{path}." if prefix is None else prefix

    def __contains__(self, key: str) -> bool:
        """Return whether the key is present, even with a null."""
        return key in self._raw

    def _value(self, key: str) -> Any:
        return self._raw.get(key)

    def _error(self, key: str, expected: str) -> ConfigurationError:
        return ConfigurationError(f"{self._prefix}{key}: expected {expected}, got {self._value(key)!r:.60}")

    def section(self, key: str) -> ValueReader:
        """Return a reader of the nested mapping, of an empty one if it is absent."""
        value = self._value(key)
        return ValueReader({} if value is None else value, self._prefix + key)

    def sections(self, key: str) -> list[ValueReader]:
        """Return a reader of each mapping in a list, empty if it is absent."""
        value = self._value(key)
        if value is None:
            return []
        if not isinstance(value, Sequence) or isinstance(value, (str, bytes)):
            raise self._error(key, "a list")
        return [ValueReader(item, f"{self._prefix}{key}[{index}]") for index, item in enumerate(value)]

    def string(self, key: str, default: str | None = None) -> str:
        """Return a string; without a default it is required."""
        value = self._value(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self._error(key, "a string")
        return value

    def optional_string(self, key: str) -> str | None:
        """Return a string, or None if it is absent."""
        return None if self._value(key) is None else self.string(key)

    def reject_unknown(self, keys: Collection[str]) -> None:
        """Raise an error that names the first key that is not in `keys`."""
        unknown = sorted(str(key) for key in set(self._raw) - set(keys))
        if unknown:
            raise ConfigurationError(
                f"{self._prefix}{unknown[0]:.60}: unknown key; valid keys are {', '.join(keys)}"
            )

    def string_map(self, key: str) -> dict[str, str]:
        """Return a mapping of strings to strings, empty if it is absent."""
        value = self._value(key)
        if value is None:
            return {}
        if not isinstance(value, Mapping) or not _are_strings([*value, *value.values()]):
            raise self._error(key, "a mapping of strings to strings")
        return dict(value)

    def strings(self, key: str) -> tuple[str, ...]:
        """Return a list of strings, empty if it is absent."""
        value = self._value(key)
        if value is None:
            return ()
        if not isinstance(value, Sequence) or isinstance(value, str) or not _are_strings(value):
            raise self._error(key, "a list of strings")
        return tuple(value)

    def flag(self, key: str, default: bool) -> bool:
        """Return a boolean."""
        value = self._value(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            raise self._error(key, "true or false")
        return value

    def number(
        self, key: str, default: float, low: float = 0.0, high: float = _LARGEST_EXACT_INTEGER
    ) -> float:
        """Return a number in `low` to `high`."""
        value = self._value(key)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
            raise self._error(key, f"a number from {low:g} to {high:g}")
        return float(value)

    def integer(self, key: str, default: int | None, low: int = 0) -> int:
        """Return an integer of at least `low`; without a default it is required."""
        value = self._value(key)
        if value is None and default is not None:
            return default
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not low <= value <= _LARGEST_EXACT_INTEGER:
            raise self._error(key, f"an integer of at least {low}")
        if value != int(value):
            raise self._error(key, "an integer")
        return int(value)

    def exact_integer(self, key: str, default: int, low: int, high: int) -> int:
        """Return an integer in `low` to `high`; a null or a number with a fraction, even .0, is an error."""
        value = self._raw.get(key, default)
        if type(value) is not int or not low <= value <= high:
            raise self._error(key, f"an integer in {low}..{high}")
        return value

    def any_number(self, key: str) -> int | float:
        """Return a required number of any size."""
        value = self._value(key)
        if type(value) not in (int, float):
            raise self._error(key, "a number")
        number: int | float = value
        return number

    def is_true(self, key: str) -> bool:
        """Return whether the key holds true; any other value counts as false."""
        return self._value(key) is True

    def string_choice(self, key: str, choices: Sequence[str], default: str) -> str:
        """Return one of `choices`; a null is an error."""
        if key not in self._raw:
            return default
        value = self._raw[key]
        if value not in choices:
            raise self._error(key, f"one of {', '.join(choices)}")
        return str(value)

    def address(self, key: str) -> Address:
        """Return a required address `host:port`."""
        return read_address(self._value(key), self._prefix + key)

    def choice(self, key: str, enum_class: type[_EnumT], default: _EnumT) -> _EnumT:
        """Return the member of `enum_class` whose value the key holds."""
        value = self._value(key)
        if value is None:
            return default
        for member in enum_class:
            if value == member.value:
                return member
        raise self._error(key, "one of " + ", ".join(str(member.value) for member in enum_class))


def _are_strings(values: Iterable[object]) -> bool:
    return all(isinstance(value, str) for value in values)

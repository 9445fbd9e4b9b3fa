"""Parses values in the platform's formats."""

import re
from math import inf
from typing import Any

_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s)$")
_DECIMAL = re.compile(r"^\d+(?:\.\d+)?$")
_VERSION = re.compile(r"^[0-9a-f]{8}$")
# Longer delays are read as this one.
MAXIMUM_DELAY_SECONDS = 1e9
_ADDRESS = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")


class MalformedError(ValueError):
    """A value is missing, has the wrong type or cannot be parsed; the message names its field."""


def read_seconds(value: Any, field_path: str) -> float:
    """Return the seconds of a duration such as ``1500ms`` or ``2.5s``."""
    match = _DURATION.match(value) if isinstance(value, str) else None
    if match is None:
        raise MalformedError(f"{field_path}: {value!r} is not a time")
    return float(match[1]) / (1000 if match[2] == "ms" else 1)


def format_seconds(seconds: float) -> str:
    """Return a duration as text, in milliseconds."""
    return f"{round(seconds * 1000)}ms"


def read_version(value: Any, field_path: str) -> int:
    """Return the version as a number; its text is eight hexadecimal digits."""
    if not isinstance(value, str) or not _VERSION.match(value):
        raise MalformedError(f"{field_path}: {value!r} is not a version")
    return int(value, 16)


def read_text(value: Any, field_path: str) -> str:
    """Return a string."""
    if not isinstance(value, str):
        raise MalformedError(f"{field_path}: {value!r} is not a text")
    return value


def read_integer(value: Any, field_path: str, *, minimum: int = 0) -> int:
    """Return an integer that is at least ``minimum``."""
    if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
        raise MalformedError(f"{field_path}: {value!r} is not a whole number from {minimum}")
    return value


def read_number(value: Any, field_path: str) -> float:
    """Return a number."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise MalformedError(f"{field_path}: {value!r} is not a number")
    return float(value)


def read_decimal(text: bytes, field_path: str) -> float:
    """Return the value of a decimal number such as ``2`` or ``0.5``."""
    value = float(text) if _DECIMAL.match(text.decode("latin-1")) else inf
    if value == inf:
        raise MalformedError(f"{field_path}: {text!r} is not a decimal number")
    return value


def read_delay(text: bytes, field_path: str) -> float:
    """Return the seconds of a decimal number, at most ``MAXIMUM_DELAY_SECONDS``."""
    if not _DECIMAL.match(text.decode("latin-1")):
        raise MalformedError(f"{field_path}: {text[:100]!r} is not a decimal number of seconds")
    return min(float(text), MAXIMUM_DELAY_SECONDS)


def read_table(value: Any, field_path: str) -> dict:
    """Return a table."""
    if not isinstance(value, dict):
        raise MalformedError(f"{field_path}: is not a table")
    return value


def read_list(value: Any, field_path: str) -> list:
    """Return a list."""
    if not isinstance(value, list):
        raise MalformedError(f"{field_path}: is not a list")
    return value


def read_address(value: Any, field_path: str) -> str:
    """Return an address ``IP:PORT`` with an IPv4 address."""
    if not isinstance(value, str) or not _ADDRESS.match(value):
        raise MalformedError(f"{field_path}: {value!r} is not an address")
    return value

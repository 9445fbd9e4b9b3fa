"""Values as the platform writes them."""

import re
from typing import Any

_TIME = re.compile(r"^(\d+(?:\.\d+)?)(ms|s)$")
_VERSION = re.compile(r"^[0-9a-f]{8}$")
_ADDRESS = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")


class MalformedError(ValueError):
    """A value is missing, of another type, or cannot be read; says which."""


def read_seconds(value: Any, place: str) -> float:
    """Return the seconds of a text such as ``1500ms`` or ``2.5s``."""
    found = _TIME.match(value) if isinstance(value, str) else None
    if found is None:
        raise MalformedError(f"{place}: {value!r} is not a time")
    return float(found[1]) / (1000 if found[2] == "ms" else 1)


def write_seconds(seconds: float) -> str:
    """Return the platform's text of a time."""
    return f"{round(seconds * 1000)}ms"


def read_version(value: Any, place: str) -> int:
    """Return the number of eight hexadecimal digits."""
    if not isinstance(value, str) or not _VERSION.match(value):
        raise MalformedError(f"{place}: {value!r} is not a version")
    return int(value, 16)


def read_text(value: Any, place: str) -> str:
    """Return a text."""
    if not isinstance(value, str):
        raise MalformedError(f"{place}: {value!r} is not a text")
    return value


def read_integer(value: Any, place: str, *, least: int = 0) -> int:
    """Return a whole number that is not below ``least``."""
    if not isinstance(value, int) or isinstance(value, bool) or value < least:
        raise MalformedError(f"{place}: {value!r} is not a whole number from {least}")
    return value


def read_number(value: Any, place: str) -> float:
    """Return a number."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise MalformedError(f"{place}: {value!r} is not a number")
    return float(value)


def read_table(value: Any, place: str) -> dict:
    """Return a table."""
    if not isinstance(value, dict):
        raise MalformedError(f"{place}: is not a table")
    return value


def read_list(value: Any, place: str) -> list:
    """Return a list."""
    if not isinstance(value, list):
        raise MalformedError(f"{place}: is not a list")
    return value


def read_address(value: Any, place: str) -> str:
    """Return an address ``IP:PORT``."""
    if not isinstance(value, str) or not _ADDRESS.match(value):
        raise MalformedError(f"{place}: {value!r} is not an address")
    return value

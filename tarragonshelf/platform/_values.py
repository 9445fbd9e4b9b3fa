"""Parses values in the platform's formats."""

import re
from hashlib import sha256
from ipaddress import AddressValueError, IPv4Address
from math import inf, isfinite
from reprlib import repr as _describe
from typing import Any

# Messages between processes carry signed 64-bit integers.
MAXIMUM_INTEGER = 2**63 - 1
MAXIMUM_PORT = 65535
MAXIMUM_NAME_CHARACTERS = 255
_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_DECIMAL = re.compile(r"^\d+(?:\.\d+)?$")
_VERSION = re.compile(r"[0-9a-f]{8}")
_ADDRESS = re.compile(r"([0-9.]+):([0-9]{1,5})")
# Longer delays are read as this one.
MAXIMUM_DELAY_SECONDS = 1e9


class MalformedError(ValueError):
    """A value is missing, has the wrong type or cannot be parsed; the message names its field."""


def read_seconds(value: Any, field_path: str) -> float:
    """Return the seconds of a duration such as ``1500ms`` or ``2.5s``."""
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    seconds = float(match[1]) / (1000 if match[2] == "ms" else 1) if match else inf
    if not isfinite(seconds):
        raise MalformedError(f"{field_path}: {_describe(value)} is not a time")
    return seconds


def format_seconds(seconds: float) -> str:
    """Return a duration as text, in milliseconds."""
    return f"{round(seconds * 1000)}ms"


def read_version(value: Any, field_path: str) -> int:
    """Return the version as a number; its text is eight hexadecimal digits."""
    if not isinstance(value, str) or not _VERSION.fullmatch(value):
        raise MalformedError(f"{field_path}: {_describe(value)} is not a version")
    return int(value, 16)


def read_text(value: Any, field_path: str) -> str:
    """Return a string."""
    if not isinstance(value, str):
        raise MalformedError(f"{field_path}: {_describe(value)} is not a text")
    return value


def read_name(value: Any, field_path: str) -> str:
    """Return a string that is short and has only printable characters; it may be empty."""
    name = read_text(value, field_path)
    if len(name) > MAXIMUM_NAME_CHARACTERS or not name.isprintable():
        raise MalformedError(f"{field_path}: {_describe(value)} is not a name")
    return name


def read_integer(
    value: Any, field_path: str, *, minimum: int = 0, maximum: int = MAXIMUM_INTEGER
) -> int:
    """Return an integer from ``minimum`` to ``maximum``."""
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not minimum <= value <= maximum:
        raise MalformedError(
            f"{field_path}: {_describe(value)} is not a whole number from {minimum} to {maximum}"
        )
    return value


def read_flag(value: Any, field_path: str) -> bool:
    """Return a truth value."""
    if not isinstance(value, bool):
        raise MalformedError(f"{field_path}: {_describe(value)} is not true or false")
    return value


def read_number(value: Any, field_path: str) -> float:
    """Return a number."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise MalformedError(f"{field_path}: {_describe(value)} is not a number")
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


def compute_key_digest(key: bytes) -> bytes:
    """Return the digest by which a key of a tenant is stored and compared."""
    return sha256(key).digest()


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
    """Return an address ``IP:PORT`` with an IPv4 address and a port that can be connected to."""
    match = _ADDRESS.fullmatch(value) if isinstance(value, str) else None
    if match is None or not _is_host(match[1]) or not 1 <= int(match[2]) <= MAXIMUM_PORT:
        raise MalformedError(f"{field_path}: {_describe(value)} is not an address")
    return value


def _is_host(text: str) -> bool:
    try:
        address = IPv4Address(text)
    except AddressValueError:
        return False
    return not address.is_unspecified

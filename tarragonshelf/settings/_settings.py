"""Settings of each kind of process."""

from pathlib import Path
from typing import Any, TypeVar

from expression import Error, Ok, Result
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from ..configuration import Finding, describe_errors

_STRICT = ConfigDict(extra="forbid", strict=True)
ADDRESS_PATTERN = r"^[^:\s]+:\d{1,5}$"
MINIMUM_SECRET_BYTES = 16


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class ControlAddress:
    """A control VM and its peer address ``HOST:PORT``."""

    vm: str = Field(min_length=1)
    address: str = Field(pattern=ADDRESS_PATTERN)


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class ControlSettings:
    """Settings of a control process; times in seconds, ``snapshot_entries`` in log entries.

    ``memory_mb`` (1,000,000 bytes each) and ``maximum_descriptors`` are what the process may use;
    by default the memory of the machine and the limit of the process.
    """

    vm: str = Field(min_length=1, pattern="^[^/]+$")
    data_centre: str = Field(min_length=1)
    peer: str = Field(pattern=ADDRESS_PATTERN)
    administration: str = Field(pattern=ADDRESS_PATTERN)
    data_folder: str = Field(min_length=1)
    secret_file: str = Field(min_length=1)
    controls: tuple[ControlAddress, ...] = Field(min_length=1)
    heartbeat_seconds: float = Field(default=0.1, gt=0)
    election_seconds: float = Field(default=0.8, gt=0)
    snapshot_entries: int = Field(default=2000, ge=10)
    memory_mb: int | None = Field(default=None, ge=1)
    maximum_descriptors: int | None = Field(default=None, ge=1)


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class EntrySettings:
    """Settings of an entry process; sizes in bytes, times in seconds.

    ``entries`` are peer addresses of some other entries, from which gossip starts. ``memory_mb``
    (1,000,000 bytes each) and ``maximum_descriptors`` are what the process may use; by default the
    memory of the machine and the limit of the process.
    """

    vm: str = Field(min_length=1)
    data_centre: str = Field(min_length=1)
    http: str = Field(pattern=ADDRESS_PATTERN)
    peer: str = Field(pattern=ADDRESS_PATTERN)
    administration: str = Field(pattern=ADDRESS_PATTERN)
    secret_file: str = Field(min_length=1)
    controls: tuple[ControlAddress, ...] = Field(min_length=1)
    entries: tuple[str, ...] = ()
    maximum_body: int = Field(default=1 << 20, ge=0)
    maximum_answer: int = Field(default=8 << 20, ge=0)
    kept_answer: int = Field(default=64 << 10, ge=0)
    maximum_requests: int = Field(default=1000, ge=1)
    body_seconds: float = Field(default=10.0, gt=0)
    stop_seconds: float = Field(default=30.0, gt=0)
    memory_mb: int | None = Field(default=None, ge=1)
    maximum_descriptors: int | None = Field(default=None, ge=1)


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class OperatorSettings:
    """Settings of the command line tool."""

    operator: str = "operator"
    secret_file: str = Field(min_length=1)
    controls: tuple[ControlAddress, ...] = Field(min_length=1)


S = TypeVar("S", ControlSettings, EntrySettings, OperatorSettings)
LoadResult = Result[Any, list[Finding]]


def load_control_settings(path: str) -> LoadResult:
    """Return the settings of a control, or all errors with their fields."""
    return _load(path, ControlSettings)


def load_entry_settings(path: str) -> LoadResult:
    """Return the settings of an entry, or all errors with their fields."""
    return _load(path, EntrySettings)


def load_operator_settings(path: str) -> LoadResult:
    """Return the settings of the command line tool, or all errors with their fields."""
    return _load(path, OperatorSettings)


def read_secret(path: str, secret_file: str) -> Result[bytes, list[Finding]]:
    """Return the fleet secret; ``secret_file`` is relative to the folder of the settings file."""
    file = Path(path).parent / secret_file
    try:
        secret = file.read_bytes().strip()
    except OSError as error:
        return Error([Finding("secret_file", f"cannot be read: {error.strerror}")])
    if len(secret) < MINIMUM_SECRET_BYTES:
        problem = f"holds {len(secret)} bytes, at least {MINIMUM_SECRET_BYTES} are required"
        return Error([Finding("secret_file", problem)])
    return Ok(secret)


def _load(path: str, settings_class: type[S]) -> LoadResult:
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        return Error([Finding("settings", f"{path} cannot be read: {error.strerror}")])
    try:
        settings = TypeAdapter(settings_class).validate_json(content)
    except ValidationError as error:
        findings = describe_errors(error)
        return Error([*findings, *_find_secret_errors(path, content)])
    secret = read_secret(path, settings.secret_file)
    if secret.is_error():
        return secret
    return Ok(settings)


def _find_secret_errors(path: str, content: bytes) -> list[Finding]:
    """Return errors of the secret file, to report them along with those of other fields."""
    try:
        secret_file = TypeAdapter(dict[str, Any]).validate_json(content).get("secret_file")
    except ValidationError:
        return []
    if not isinstance(secret_file, str):
        return []
    secret = read_secret(path, secret_file)
    return secret.error if secret.is_error() else []

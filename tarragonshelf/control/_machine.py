"""The replicated state machine: configuration, run ledger, ejections, drained VMs."""

import json
from dataclasses import dataclass

from ..base import Message
from ..configuration import (
    ApplyConfiguration,
    ApplyState,
    ConfigurationRegister,
    RegisterState,
)
from ..health import EjectionGrants, GrantsState, ReportHealth
from ..ledger import (
    AbandonKey,
    ClaimKey,
    Ledger,
    LedgerState,
    ResolveKey,
    SettleKey,
    SuspendKey,
)
from ..replication import Done, Refused, RefusedReason
from ._messages import AdvanceClock, SetDrained


@dataclass(frozen=True, slots=True)
class ControlSnapshot(Message):
    """The whole state as of ``index``; ``time`` is log time in seconds."""

    cluster: str = ""
    index: int = 0
    revision: int = 0
    time: float = 0.0
    register: RegisterState = RegisterState()
    ledger: LedgerState = LedgerState()
    grants: GrantsState = GrantsState()
    drained: tuple[str, ...] = ()


class ControlMachine:
    """Applies committed commands in the order of the log.

    ``revision`` is the index of the last command that changed the state that entries follow:
    configuration, ejections or drained VMs.
    """

    def __init__(self, snapshot: ControlSnapshot = ControlSnapshot()):
        self.restore(snapshot)

    def restore(self, snapshot: ControlSnapshot) -> None:
        """Replace the whole state."""
        self.cluster = snapshot.cluster
        self.index = snapshot.index
        self.revision = snapshot.revision
        self.time = snapshot.time
        self.register = ConfigurationRegister(snapshot.register)
        self.ledger = Ledger(snapshot.ledger)
        self.grants = EjectionGrants(snapshot.grants)
        self.drained = frozenset(snapshot.drained)
        self.floors = _read_floors(self.register)

    def capture(self) -> ControlSnapshot:
        """Return the whole state."""
        return ControlSnapshot(
            self.cluster,
            self.index,
            self.revision,
            self.time,
            self.register.capture(),
            self.ledger.capture(),
            self.grants.capture(),
            tuple(sorted(self.drained)),
        )

    def skip(self, index: int, time: float) -> None:
        """Advance index and time past an entry that holds no command."""
        self.index = index
        self.time = time
        self.ledger.advance(time)

    def apply(self, index: int, time: float, command: Message) -> Message:
        """Execute one command and return its result."""
        self.skip(index, time)
        handler = {
            AbandonKey: self._change_ledger,
            AdvanceClock: self._advance,
            ApplyConfiguration: self._apply_configuration,
            ClaimKey: self._change_ledger,
            ReportHealth: self._report_health,
            ResolveKey: self._change_ledger,
            SetDrained: self._set_drained,
            SettleKey: self._change_ledger,
            SuspendKey: self._change_ledger,
        }[type(command)]
        return handler(command)

    def _change_ledger(self, command: Message) -> Message:
        change = {
            AbandonKey: self.ledger.abandon,
            ClaimKey: self.ledger.claim,
            ResolveKey: self.ledger.resolve,
            SettleKey: self.ledger.settle,
            SuspendKey: self.ledger.suspend,
        }[type(command)]
        return change(self.time, command)

    def _advance(self, command: AdvanceClock) -> Message:
        return Done(self.index)

    def _apply_configuration(self, command: ApplyConfiguration) -> Message:
        before = self.register.current
        result = self.register.apply(self.index, command)
        if result.state == ApplyState.ACCEPTED and self.register.current != before:
            self.revision = self.index
            self.floors = _read_floors(self.register)
            self.grants.release_below_floors(self.time, self.floors)
        return result

    def _report_health(self, command: ReportHealth) -> Message:
        floor = self.floors.get(command.service)
        if floor is None:
            version = self.register.current.version
            detail = f"service {command.service!r} does not exist in configuration {version}"
            return Refused(RefusedReason.UNKNOWN_NAME, detail=detail)
        before = self.grants.list_ejections(command.service)
        result = self.grants.report(self.time, floor, command)
        if result.ejections != before:
            self.revision = self.index
        return result

    def _set_drained(self, command: SetDrained) -> Message:
        change = self.drained.union if command.drained else self.drained.difference
        self.drained = change({command.vm})
        self.revision = self.index
        return Done(self.index)


def _read_floors(register: ConfigurationRegister) -> dict[str, int]:
    floors = {}
    for content in register.chunks.values():
        if b'"services"' in content:
            services = json.loads(content).get("services", [])
            floors.update({service["name"]: service["floor"] for service in services})
    return floors

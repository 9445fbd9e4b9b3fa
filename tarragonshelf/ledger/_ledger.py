"""Deterministic state of the run ledger."""

import heapq
from dataclasses import replace

from ._messages import (
    AbandonKey,
    Answer,
    ClaimId,
    ClaimKey,
    ClaimResult,
    ClaimState,
    Header,
    KeyRecord,
    KeyState,
    LedgerState,
    OrderKey,
    ResolveKey,
    SettleKey,
    SuspendKey,
    Tombstone,
)

TOMBSTONE_SECONDS = 600.0
REASON_SILENT = "the entry that claimed the order did not report an outcome"
OPERATOR_BODY = b'{"settled_by": "operator"}'

_STATE_OF_CLAIM = {
    KeyState.OPEN: ClaimState.PENDING,
    KeyState.SETTLED: ClaimState.SETTLED,
    KeyState.UNRESOLVED: ClaimState.UNRESOLVED,
}


class Ledger:
    """Which orders are claimed, ran, or are unresolved.

    Notes
    -----
    Every method is deterministic in the order of the log. Times are log time in seconds, which
    the replicas share and which no change of a wall clock moves.
    """

    def __init__(self, state: LedgerState = LedgerState()):
        self._records = {record.key: record for record in state.records}
        self._tombstones = {item.claim: item.expires for item in state.tombstones}
        self._expiries: list[tuple[float, int, OrderKey | ClaimId]] = []
        self._order = 0
        for record in state.records:
            self._schedule(record.expires, record.key)
        for item in state.tombstones:
            self._schedule(item.expires, item.claim)

    # Queries

    @property
    def size(self) -> int:
        """How many keys are held."""
        return len(self._records)

    def get_record(self, key: OrderKey) -> KeyRecord | None:
        """Return the record of a key, if it is held."""
        return self._records.get(key)

    def list_unresolved(self) -> tuple[KeyRecord, ...]:
        """Return all orders whose outcome is not known."""
        records = self._records.values()
        return tuple(record for record in records if record.state == KeyState.UNRESOLVED)

    def find_next_expiry(self) -> float:
        """Return the log time at which ``advance`` has something to do."""
        return self._expiries[0][0] if self._expiries else float("inf")

    def capture(self) -> LedgerState:
        """Return everything held, for a snapshot."""
        tombstones = (Tombstone(claim, expires) for claim, expires in self._tombstones.items())
        return LedgerState(tuple(self._records.values()), tuple(tombstones))

    # Commands

    def claim(self, time: float, command: ClaimKey) -> ClaimResult:
        """Reserve a key, unless it is held or the claim was abandoned before."""
        if command.claim in self._tombstones:
            return ClaimResult(ClaimState.ABANDONED)
        record = self._records.get(command.key)
        if record is None:
            self._put_claim(time, command)
            return ClaimResult(ClaimState.GRANTED)
        if record.digest != command.digest:
            return ClaimResult(ClaimState.CONFLICT)
        if record.claim == command.claim and record.state == KeyState.OPEN:
            return ClaimResult(ClaimState.GRANTED)
        return ClaimResult(_STATE_OF_CLAIM[record.state], record.answer)

    def settle(self, time: float, command: SettleKey) -> ClaimResult:
        """Keep the answer of a run, also after the claim counted as unresolved."""
        record = self._records.get(command.key)
        if record is not None and record.claim != command.claim:
            return ClaimResult(ClaimState.CONFLICT)
        if record is not None and record.state == KeyState.SETTLED:
            return ClaimResult(ClaimState.SETTLED, record.answer)
        settled = KeyRecord(
            key=command.key,
            claim=command.claim,
            digest=command.digest,
            service=command.service,
            state=KeyState.SETTLED,
            since=time,
            expires=time + command.window,
            window=command.window,
            answer=command.answer,
        )
        self._put(settled)
        return ClaimResult(ClaimState.SETTLED, command.answer)

    def abandon(self, time: float, command: AbandonKey) -> ClaimResult:
        """Free a key that this claim provably did not run, now and if the claim comes later."""
        expires = time + TOMBSTONE_SECONDS
        self._tombstones[command.claim] = expires
        self._schedule(expires, command.claim)
        record = self._records.get(command.key)
        is_own = record is not None and record.claim == command.claim
        if is_own and record.state != KeyState.SETTLED:
            del self._records[command.key]
        return ClaimResult(ClaimState.ABANDONED)

    def suspend(self, time: float, command: SuspendKey) -> ClaimResult:
        """Mark an open claim as unresolved."""
        record = self._records.get(command.key)
        if record is None or record.claim != command.claim:
            return ClaimResult(ClaimState.UNKNOWN)
        if record.state == KeyState.OPEN:
            self._mark_unresolved(time, record, command.reason, command.target)
        return ClaimResult(_STATE_OF_CLAIM[self._records[command.key].state])

    def resolve(self, time: float, command: ResolveKey) -> ClaimResult:
        """Carry out an operator's word on an unresolved order."""
        record = self._records.get(command.key)
        if record is None or record.state != KeyState.UNRESOLVED:
            return ClaimResult(ClaimState.UNKNOWN)
        if not command.ran:
            self.abandon(time, AbandonKey(record.claim, command.key))
            return ClaimResult(ClaimState.ABANDONED)
        headers = (Header("Content-Type", "application/json"),)
        answer = Answer(200, headers, OPERATOR_BODY)
        expires = time + record.window
        self._put(
            replace(record, state=KeyState.SETTLED, since=time, expires=expires, answer=answer)
        )
        return ClaimResult(ClaimState.SETTLED, answer)

    def advance(self, time: float) -> None:
        """Mark silent claims as unresolved and forget keys whose window is over."""
        while self._expiries and self._expiries[0][0] <= time:
            _, _, item = heapq.heappop(self._expiries)
            if isinstance(item, OrderKey):
                self._expire_record(time, item)
            elif self._tombstones.get(item, float("inf")) <= time:
                del self._tombstones[item]

    def _expire_record(self, time: float, key: OrderKey) -> None:
        record = self._records.get(key)
        if record is None or record.expires > time:
            return
        if record.state == KeyState.OPEN:
            self._mark_unresolved(time, record, REASON_SILENT, "")
        elif record.state == KeyState.SETTLED:
            del self._records[key]

    def _mark_unresolved(self, time: float, record: KeyRecord, reason: str, target: str) -> None:
        self._records[record.key] = replace(
            record,
            state=KeyState.UNRESOLVED,
            since=time,
            expires=float("inf"),
            reason=reason,
            target=target,
        )

    def _put_claim(self, time: float, command: ClaimKey) -> None:
        record = KeyRecord(
            key=command.key,
            claim=command.claim,
            digest=command.digest,
            service=command.service,
            state=KeyState.OPEN,
            since=time,
            expires=time + command.patience,
            window=command.window,
        )
        self._put(record)

    def _put(self, record: KeyRecord) -> None:
        self._records[record.key] = record
        self._schedule(record.expires, record.key)

    def _schedule(self, expires: float, item: OrderKey | ClaimId) -> None:
        if expires != float("inf"):
            self._order += 1
            heapq.heappush(self._expiries, (expires, self._order, item))

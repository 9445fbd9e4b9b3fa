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
REASON_NO_OUTCOME = "the entry that claimed the order did not report an outcome"
OPERATOR_ANSWER_BODY = b'{"settled_by": "operator"}'

_STATE_OF_CLAIM = {
    KeyState.OPEN: ClaimState.PENDING,
    KeyState.SETTLED: ClaimState.SETTLED,
    KeyState.UNRESOLVED: ClaimState.UNRESOLVED,
}


class Ledger:
    """Records which orders are claimed, have run, or are unresolved.

    Notes
    -----
    The state depends only on the commands, their order and their log times, so it is equal on
    all replicas. Log time is in seconds, and wall-clock adjustments do not affect it.
    """

    def __init__(self, state: LedgerState = LedgerState()):
        self._records = {record.key: record for record in state.records}
        self._tombstones = {item.claim: item.expires for item in state.tombstones}
        self._expiries: list[tuple[float, int, OrderKey | ClaimId]] = []
        self._sequence = 0
        for record in state.records:
            self._schedule(record.expires, record.key)
        for item in state.tombstones:
            self._schedule(item.expires, item.claim)

    # Queries

    @property
    def size(self) -> int:
        """Number of keys in the ledger."""
        return len(self._records)

    def get_record(self, key: OrderKey) -> KeyRecord | None:
        """Return the record of a key, or None."""
        return self._records.get(key)

    def list_unresolved(self) -> tuple[KeyRecord, ...]:
        """Return the records of all orders whose outcome is unknown."""
        records = self._records.values()
        return tuple(record for record in records if record.state == KeyState.UNRESOLVED)

    def find_next_expiry(self) -> float:
        """Return the earliest log time at which an item may expire, or infinity."""
        return self._expiries[0][0] if self._expiries else float("inf")

    def capture(self) -> LedgerState:
        """Return the whole state, for a snapshot."""
        tombstones = (Tombstone(claim, expires) for claim, expires in self._tombstones.items())
        return LedgerState(tuple(self._records.values()), tuple(tombstones))

    # Commands

    def claim(self, time: float, command: ClaimKey) -> ClaimResult:
        """Reserve a key, unless another claim holds it or this claim was abandoned before."""
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
        """Store the answer of a run, even if the claim is already marked as unresolved."""
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
        """Release a key whose claim provably did not run, and refuse the claim if it comes later.

        A tombstone keeps the claim refused for ``TOMBSTONE_SECONDS``.
        """
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
        """Apply an operator's decision whether an unresolved order ran."""
        record = self._records.get(command.key)
        if record is None or record.state != KeyState.UNRESOLVED:
            return ClaimResult(ClaimState.UNKNOWN)
        if not command.ran:
            self.abandon(time, AbandonKey(record.claim, command.key))
            return ClaimResult(ClaimState.ABANDONED)
        headers = (Header("Content-Type", "application/json"),)
        answer = Answer(200, headers, OPERATOR_ANSWER_BODY)
        expires = time + record.window
        self._put(
            replace(record, state=KeyState.SETTLED, since=time, expires=expires, answer=answer)
        )
        return ClaimResult(ClaimState.SETTLED, answer)

    def advance(self, time: float) -> None:
        """Mark overdue claims as unresolved, and remove expired keys and tombstones."""
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
            self._mark_unresolved(time, record, REASON_NO_OUTCOME, "")
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
            self._sequence += 1
            heapq.heappush(self._expiries, (expires, self._sequence, item))

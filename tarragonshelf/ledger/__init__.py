"""The run ledger: which non-repeatable requests were claimed, have run, or are unresolved."""

from ._ledger import Ledger
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

__all__ = [
    "AbandonKey",
    "Answer",
    "ClaimId",
    "ClaimKey",
    "ClaimResult",
    "ClaimState",
    "Header",
    "KeyRecord",
    "KeyState",
    "Ledger",
    "LedgerState",
    "OrderKey",
    "ResolveKey",
    "SettleKey",
    "SuspendKey",
    "Tombstone",
]

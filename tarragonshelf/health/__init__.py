"""Health of targets: passive evidence, outlier detection and ejections above the floor."""

from ._detector import Detector, TargetScore
from ._evidence import EvidenceCollector, HangTimeout, Outcome
from ._grants import EjectionGrants
from ._messages import (
    Ejection,
    Evidence,
    EvidenceDigest,
    GrantsState,
    HealthResult,
    ReadyTarget,
    ReportHealth,
    Suspect,
    WatcherReport,
)
from ._poison import PoisonNote, PoisonRegister
from ._watcher import Watcher

__all__ = [
    "Detector",
    "Ejection",
    "EjectionGrants",
    "Evidence",
    "EvidenceCollector",
    "EvidenceDigest",
    "GrantsState",
    "HangTimeout",
    "HealthResult",
    "Outcome",
    "PoisonNote",
    "PoisonRegister",
    "ReadyTarget",
    "ReportHealth",
    "Suspect",
    "TargetScore",
    "Watcher",
    "WatcherReport",
]

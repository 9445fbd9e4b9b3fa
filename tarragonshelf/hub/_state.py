"""What a hub knows, and the steps that all its duties share."""

from random import Random

from ..base import Codec
from ..catalogue import (
    CatalogueCopy,
    CatalogueReader,
    CatalogueRegister,
)
from ..consensus import HardState, LogEntry, Snapshot, Timing
from ..forwarding import RetryBudgetSettings
from ..registry import TargetNews, TargetRegistry
from ..replication import ReplicatedNode
from ._batches import EvidenceBatch, TargetBatch
from ._drains import PendingDrains
from ._loads import LoadBook
from ._messages import (
    HubRecord,
)
from ._registrar import Registrar
from ._repeats import RepeatPool
from ._subscribers import Subscribers

FIRST_INCARNATION = "first"
NO_RETRY_BUDGET = RetryBudgetSettings(ratio=0.0, slack=0.0, window=1.0)
# What a hub remembers on disk besides the log.
TARGETS = "targets"
CATALOGUE = "catalogue"
HUBS = "hubs"
SAVED_MESSAGE_NAMES = (TARGETS, CATALOGUE, HUBS)
# A follower that heard no leader for so long may miss what the others acknowledge.
CURRENT_SECONDS = 1.0


class HubState(ReplicatedNode):
    """The state of a hub; the mixins beside this module act on it."""

    def __init__(
        self,
        *,
        record: HubRecord,
        incarnation: str,
        places: dict[str, str],
        codec: Codec,
        reader: CatalogueReader,
        random: Random,
        hard_state: HardState = HardState(),
        snapshot: Snapshot | None = None,
        entries: tuple[LogEntry, ...] = (),
        timing: Timing = Timing(),
        budget: RetryBudgetSettings = NO_RETRY_BUDGET,
    ):
        super().__init__(
            identity=f"{record.vm}/{incarnation}",
            codec=codec,
            random=random,
            hard_state=hard_state,
            snapshot=snapshot,
            entries=entries,
            timing=timing,
        )
        self.record = record
        self.reader = reader
        self.register = CatalogueRegister()
        if snapshot is not None:
            self.register.restore(codec.decode(snapshot.data))
        self.targets = TargetRegistry()
        self.registrar = Registrar(record, places)
        self.subscribers = Subscribers(record.data_centre)
        self.loads = LoadBook(record.vm)
        self.retry_pool = RepeatPool(budget)
        self._drains = PendingDrains(record.vm)
        # What entries here told goes to entries and hubs, what hubs told to entries only.
        self._evidence_for_entries = EvidenceBatch()
        self._evidence_for_hubs = EvidenceBatch()
        self._targets_for_entries = TargetBatch()
        self._targets_for_hubs = TargetBatch()
        self._beat_at = 0.0
        self._digest_at = 0.0
        self._was_current = False
        self._learning_since: dict[str, float] = {}
        self._edges_elsewhere: dict[str, int] = {}
        self._differences: dict[str, int] = {}
        # The newest document that was ever committed here, which a restart does not forget.
        self._remembered = CatalogueCopy(0)
        self._whole: TargetNews | None = None
        self._whole_digest = 0
        self._saved_digest = self.targets.digest
        self._saved_at = 0.0
        self._edges_changed = False
        self._edges_at = 0.0

    def is_current(self, now: float) -> bool:
        """Tell whether this hub leads a quorum or heard a leader a moment ago."""
        if self.replica.is_leader:
            return self.replica.is_current(now)
        if not self.replica.log.last_index:
            return False
        return now - self.replica.last_leader_contact < CURRENT_SECONDS

    def needs_to_join(self, now: float) -> bool:
        """Tell whether no leader counts this hub among its replicas."""
        return not self.is_current(now)

    def list_peers(self) -> list[str]:
        """Return the addresses of all other hubs."""
        members = {item.address for item in self.replica.membership.members}
        return sorted((members | self.registrar.list_addresses()) - {self.record.address})

"""State of a hub, and helpers shared by its mixins."""

from math import inf
from random import Random

from ..allowances import AllowanceAllocator, AllowanceRequests
from ..base import Codec
from ..catalogue import (
    NO_VERSION,
    CatalogueCopy,
    CatalogueReader,
    CatalogueRegister,
    ClientAccount,
    UnreadableCatalogueError,
    decompress_content,
)
from ..consensus import HardState, LogEntry, Snapshot, Timing
from ..forwarding import RetryBudgetSettings
from ..registry import TargetEntry, TargetNews, TargetRegistry, TargetState
from ..replication import EmitEvent, FaultTolerance, ReplicatedNode, VoterRules
from ..throttling import DeclaredLimits, PermitAllocator
from ._batches import DistantEvidenceBatch, EvidenceBatch, TargetBatch
from ._drains import PendingDrains
from ._loads import LoadAggregator
from ._messages import (
    HubRecord,
)
from ._registrar import Registrar
from ._relays import RelayDirectory
from ._retries import RetryPool
from ._subscribers import Subscribers

FIRST_INCARNATION = "first"
NO_RETRY_BUDGET = RetryBudgetSettings(ratio=0.0, slack=0.0, window=1.0)
# Names of the files that a hub saves on disk besides the replicated log.
TARGETS_FILE = "targets"
CATALOGUE_FILE = "catalogue"
HUBS_FILE = "hubs"
SAVED_MESSAGE_NAMES = (TARGETS_FILE, CATALOGUE_FILE, HUBS_FILE)
# A follower without contact with a leader for this long may lack entries that others acknowledged.
LEADER_TIMEOUT_SECONDS = 1.0
# Time in which the leader answers a request for allowances; less than the 0.3 s that entries wait.
ALLOWANCE_TIMEOUT_SECONDS = 0.25


class HubState(ReplicatedNode):
    """State of a hub, shared by the mixins of this package."""

    def __init__(
        self,
        *,
        record: HubRecord,
        incarnation: str,
        regions: dict[str, str],
        codec: Codec,
        reader: CatalogueReader,
        random: Random,
        hard_state: HardState = HardState(),
        snapshot: Snapshot | None = None,
        entries: tuple[LogEntry, ...] = (),
        timing: Timing = Timing(),
        budget: RetryBudgetSettings = NO_RETRY_BUDGET,
        seeds: tuple[str, ...] = (),
        maximum_targets: int | None = None,
        tolerance: FaultTolerance = FaultTolerance(),
    ):
        super().__init__(
            identity=f"{record.vm}/{incarnation}",
            codec=codec,
            random=random,
            hard_state=hard_state,
            snapshot=snapshot,
            entries=entries,
            timing=timing,
            vm=record.vm,
            address=record.address,
            seeds=seeds,
        )
        self.record = record
        self.reader = reader
        self.register = CatalogueRegister()
        if snapshot is not None:
            self.register.restore(codec.decode(snapshot.data))
        self.targets = TargetRegistry()
        self.maximum_targets = inf if maximum_targets is None else maximum_targets
        self.registrar = Registrar(record, regions)
        self.voter_rules = VoterRules(tolerance, self.registrar.find_place)
        # What this replica as leader logged last of the voters and the loss that they bear.
        self._reported_tolerance: dict[str, int] = {}
        self.subscribers = Subscribers(record.data_centre)
        self.loads = LoadAggregator(record.vm)
        self.relay_directory = RelayDirectory()
        self.retry_pool = RetryPool(budget)
        # The limits are sent to entries that subscribe; the leader grants permits under them.
        self.limits = DeclaredLimits()
        self.permits = PermitAllocator(random)
        # The leader allocates allowances; the other hubs combine the requests of their entries.
        self.allowances = AllowanceAllocator(random)
        self.allowance_requests = AllowanceRequests(random, ALLOWANCE_TIMEOUT_SECONDS)
        # Accounts of the version read last; None if this build cannot read it.
        self._accounts: dict[str, ClientAccount] | None = None
        # Services of the same version, by which announcements are checked.
        self._services: frozenset[str] = frozenset()
        self._read_version = NO_VERSION
        self._entries_counted_at = float("-inf")
        self._drains = PendingDrains(record.vm)
        # Evidence of local entries goes to entries and hubs, evidence of other hubs to entries
        # only. Hubs in other regions receive less of it.
        self._evidence_for_entries = EvidenceBatch()
        self._evidence_for_hubs = EvidenceBatch()
        self._evidence_for_regions = DistantEvidenceBatch()
        self._targets_for_entries = TargetBatch()
        self._targets_for_hubs = TargetBatch()
        self._heartbeat_sent_at = 0.0
        self._digest_sent_at = 0.0
        self._was_current = False
        self._learner_since: dict[str, float] = {}
        # When a replica that is about to stop was last refused to give its seat back.
        self._seat_refused_at = float("-inf")
        self._peer_edge_counts: dict[str, int] = {}
        # Revision of the replication rules that each other hub follows.
        self._peer_revisions: dict[str, int] = {}
        self._mismatch_counts: dict[str, int] = {}
        self._registry_requested_at = float("-inf")
        # Whether the system may have gone on before this hub started.
        self._may_lack_targets = True
        # Hubs that held the same targets as this one, since it was last cut off from the others.
        self._agreeing_hubs: set[str] = set()
        # The newest catalogue committed on this hub; it is saved to disk and outlasts a restart.
        self._saved_catalogue = CatalogueCopy(0)
        self._full_target_news: TargetNews | None = None
        self._full_target_news_revision = 0
        self._saved_revision = self.targets.revision
        self._saved_at = 0.0
        self._edges_changed = False
        self._edges_pushed_at = 0.0

    def _read_catalogue(self) -> None:
        """Read accounts and services of the newest committed catalogue, once a version."""
        version = self._saved_catalogue.latest_version
        if version == self._read_version:
            return
        self._read_version, self._accounts, self._services = version, None, frozenset()
        try:
            catalogue = self.reader.read(decompress_content(self._saved_catalogue.content))
        except UnreadableCatalogueError as error:
            fields = {"version": version, "problem": str(error)}
            self._effects.append(EmitEvent("catalogue_unreadable", fields))
            return
        # Digests of keys are not needed here, and take most of the memory.
        self._accounts = {
            item.name: ClientAccount(item.name, (), item.rate, item.burst)
            for item in catalogue.accounts or ()
        }
        self._services = frozenset(item.name for item in catalogue.services)

    def _merge_target(self, now: float, entry: TargetEntry) -> bool:
        """Add or update a target and return whether it changed.

        The limit of an earlier incarnation, or of a target that left, is forgotten.
        """
        before = self.targets.get(entry.identity)
        if not self.targets.merge(now, entry):
            return False
        is_restarted = before is not None and before.started != entry.started
        if is_restarted or entry.state == TargetState.LEFT:
            self.limits.forget(entry.identity)
        return True

    def _count_entries(self, now: float) -> int:
        """Return the number of serving entries that follow this hub or another that is alive.

        The entries of a hub that is no longer alive follow another hub by now.
        """
        counts = self._peer_edge_counts.items()
        remote = sum(count for vm, count in counts if self.registrar.is_alive(now, vm))
        return len(self.subscribers.serving) + remote

    def is_current(self, now: float) -> bool:
        """Return whether this hub leads with a quorum or has recent contact with a leader."""
        if self.replica.is_leader:
            return self.replica.is_current(now)
        if not self.replica.log.last_index:
            return False
        return now - self.replica.last_leader_contact < LEADER_TIMEOUT_SECONDS

    def needs_to_join(self, now: float) -> bool:
        """Return whether this hub has no contact with a leader, or is no member.

        A leader that replicates to its address may take it for an incarnation whose disk is lost.
        """
        return not self.is_stopping and not (self.is_member and self.is_current(now))

    def set_fault_tolerance(self, tolerance: FaultTolerance) -> None:
        """Use other settings for what the voters have to bear; those of the leader decide."""
        self.voter_rules = VoterRules(tolerance, self.registrar.find_place)

    @property
    def is_stopping(self) -> bool:
        """Whether the process was asked to stop."""
        return self._seat_release is not None

    @property
    def can_stop(self) -> bool:
        """Whether a process that was asked to stop may end."""
        return self._seat_release is None or self._seat_release.is_finished

    def list_peers(self) -> list[str]:
        """Return the addresses of all other hubs."""
        members = {item.address for item in self.replica.membership.members}
        return sorted((members | self.registrar.list_addresses()) - {self.record.address})

    def list_near_peers(self) -> list[str]:
        """Return the addresses of all other hubs that are not known to be in another region."""
        return [item for item in self.list_peers() if not self.registrar.is_distant(item)]

    def list_distant_peers(self) -> list[str]:
        """Return the addresses of all hubs in other regions."""
        return [item for item in self.list_peers() if self.registrar.is_distant(item)]

    def list_contacts(self, now: float) -> list[str]:
        """Return the addresses of all other hubs, and of those that may know more of them.

        Hubs that have never heard of this one send it nothing. So while it has no contact with a
        leader it introduces itself to its seeds, which need not be members themselves.
        """
        contacts = self.joins.contacts if self.needs_to_join(now) else ()
        return sorted({*self.list_peers(), *contacts})

"""Messages of the entries that follow a hub, and updates sent to them."""

from ..allowances import AllowanceRequest
from ..avoidance import EvidenceItem, EvidenceKind, EvidenceNews
from ..base import Message
from ..registry import TargetNews
from ..relaying import RelayList, RelayQuery
from ..replication import EmitEvent
from ..throttling import (
    PermitReply,
    PermitRequest,
    RelayedPermitReply,
    RelayedPermitRequest,
)
from ._allowances import AllowancesMixin
from ._messages import (
    REPLICATION_REVISION,
    HubBeat,
    LoadReport,
    PushToSubscriber,
    RepeatAsk,
    RepeatReply,
    SendToPeer,
    Subscribe,
)
from ._relays import MAXIMUM_NAMED_RELAYS

# Changes of the serving entries are batched, as many happen when the fleet starts.
EDGE_NEWS_INTERVAL_SECONDS = 0.2


class EntriesMixin(AllowancesMixin):
    """Handles messages of entries and sends updates to them."""

    def _handle_subscriber(self, now: float, number: int, message: Message) -> None:
        if isinstance(message, Subscribe):
            self._subscribe(now, number, message)
        elif isinstance(message, LoadReport):
            self.subscribers.record_load(number, message)
            for item in message.requests:
                self.retry_pool.record_requests(now, item.service, item.count)
        elif isinstance(message, RepeatAsk):
            self._answer_retry_request(now, number, message)
        elif isinstance(message, PermitRequest):
            self._handle_permit_request(now, number, message)
        elif isinstance(message, AllowanceRequest):
            self._handle_allowance_request(now, number, message)
        elif isinstance(message, TargetNews):
            self._handle_departures(now, message)
        elif isinstance(message, EvidenceNews):
            for item in message.items:
                self._add_evidence(now, item)
                self._evidence_for_hubs.add_evidence(now, item)
                self._evidence_for_regions.add_evidence(now, item)

    def _add_evidence(self, now: float, item: EvidenceItem) -> None:
        """Add evidence for the entries that follow this hub."""
        if item.kind == EvidenceKind.LIMITED:
            self.limits.record(now, item.target, item.rate)
        elif item.kind == EvidenceKind.UNLIMITED:
            self.limits.forget(item.target)
        self._evidence_for_entries.add_evidence(now, item)

    def _handle_permit_request(self, now: float, number: int, request: PermitRequest) -> None:
        """Decide a request for a permit if this hub leads, or else relay it to the leader."""
        if not self.replica.is_leader and self.leader_address:
            relayed = RelayedPermitRequest(self.record.address, number, request)
            self._effects.append(SendToPeer(self.leader_address, relayed))
        else:
            reply = self._allocate_permit(now, request)
            self._effects.append(PushToSubscriber(number, reply))

    def _answer_relayed_permit(self, now: float, message: RelayedPermitRequest) -> None:
        reply = self._allocate_permit(now, message.request)
        relayed = RelayedPermitReply(message.subscriber, reply)
        self._effects.append(SendToPeer(message.address, relayed))

    def _allocate_permit(self, now: float, request: PermitRequest) -> PermitReply:
        """Grant or deny a permit; only a leader that has contact with a quorum grants any."""
        if not self.replica.has_committed_in_term or not self.is_current(now):
            return self.permits.deny(request)
        reply = self.permits.allocate(now, request)
        event = "permit_granted" if reply.target else "permit_denied"
        fields = {
            "service": request.service,
            "targets": len(request.limits),
            "target": reply.target,
            "wait": round(reply.wait, 3),
            "retry_after": round(reply.retry_after, 3),
        }
        self._effects.append(EmitEvent(event, fields))
        return reply

    def _answer_retry_request(self, now: float, number: int, request: RepeatAsk) -> None:
        is_granted = self.retry_pool.spend(now, request.service)
        if not is_granted:
            fields = {"service": request.service, "entry": self.subscribers.get_vm(number)}
            self._effects.append(EmitEvent("repeat_denied", fields))
        self._effects.append(PushToSubscriber(number, RepeatReply(request.number, is_granted)))

    def _subscribe(self, now: float, number: int, message: Subscribe) -> None:
        is_known = number in self.subscribers.numbers
        if message.is_lookup:
            self.subscribers.add_lookup(number)
            self._effects.append(PushToSubscriber(number, self._create_heartbeat(now)))
            self._effects.append(PushToSubscriber(number, self.registrar.create_hub_news()))
            return
        if self.subscribers.put(number, message):
            self._edges_changed = True
        self._exchange_relays(now)
        if is_known:
            return
        messages: list[Message] = [self._create_heartbeat(now), self.registrar.create_hub_news()]
        if self._saved_catalogue.latest_version > message.version:
            messages.append(self._saved_catalogue)
        messages.append(self._create_full_target_news())
        if rates := self.limits.list_rates():
            items = (
                EvidenceItem(target, EvidenceKind.LIMITED, rate=rate)
                for target, rate in sorted(rates.items())
            )
            messages.append(EvidenceNews(tuple(items)))
        self._effects += (PushToSubscriber(number, item) for item in messages)
        self._edges_changed = True

    def _exchange_relays(self, now: float) -> None:
        """Tell entries without a path to the targets which entries relay requests."""
        if not self.subscribers.has_isolated:
            self.relay_directory.clear()
            self._effects += self.subscribers.push_relays(())
            return
        if self.relay_directory.is_query_due(now):
            query = RelayQuery(self.record.address)
            self._effects += (SendToPeer(address, query) for address in self.list_peers())
        relays = self.relay_directory.list_relays(now, self.subscribers.relays)
        self._effects += self.subscribers.push_relays(relays)

    def _answer_relay_query(self, query: RelayQuery) -> None:
        relays = sorted(self.subscribers.relays, key=lambda item: item.address)
        reply = RelayList(self.record.vm, tuple(relays[:MAXIMUM_NAMED_RELAYS]))
        self._effects.append(SendToPeer(query.address, reply))

    def _create_full_target_news(self) -> TargetNews:
        """Return all targets, cached until one changes.

        After a restart of the hub all its entries request them at the same time.
        """
        revision = self.targets.revision
        if self._full_target_news is None or self._full_target_news_revision != revision:
            self._full_target_news_revision = revision
            self._full_target_news = TargetNews(self.targets.list_all(), is_whole=True)
        return self._full_target_news

    def _flush_batches(self, now: float) -> None:
        if entries := self._targets_for_entries.pop_due(now):
            self._effects += self.subscribers.push_all(TargetNews(entries))
        if entries := self._targets_for_hubs.pop_due(now):
            news = TargetNews(entries)
            self._effects += (SendToPeer(address, news) for address in self.list_peers())
        if items := self._evidence_for_entries.pop_due(now):
            self._effects += self.subscribers.push_evidence(items)
        if items := self._evidence_for_hubs.pop_due(now):
            relayed = EvidenceNews(items, True)
            self._effects += (SendToPeer(address, relayed) for address in self.list_near_peers())
        if items := self._evidence_for_regions.pop_due(now):
            relayed = EvidenceNews(items, True)
            peers = self.list_distant_peers()
            self._effects += (SendToPeer(address, relayed) for address in peers)

    def _push_edges(self, now: float) -> None:
        """Send the list of serving entries, at most once per interval."""
        if not self._edges_changed or now - self._edges_pushed_at < EDGE_NEWS_INTERVAL_SECONDS:
            return
        self._edges_changed, self._edges_pushed_at = False, now
        total = self._count_entries(now)
        self.retry_pool.set_share(len(self.subscribers.serving), total)
        self._effects += self.subscribers.push_edges(total)

    def _exchange_loads(self, now: float) -> None:
        self.loads.set_local(self.subscribers.compute_load())
        for vm in self.registrar.list_unresponsive(now):
            self.loads.remove_hub(vm)
        if self.loads.is_due(now):
            self._send_loads(now)
        self._effects += self.subscribers.push_load(now, self.loads.compute_totals())

    def _send_loads(self, now: float) -> None:
        """Send other hubs the local load on targets whose home they are, and busy local targets.

        The home of a target is the hub that adds up the load of all entries on it.
        """
        targets = self.targets.list_all()
        home_by_data_centre = {}
        for data_centre in {item.data_centre for item in targets}:
            home_by_data_centre[data_centre] = self.registrar.find_home_hub(now, data_centre)
        news = self.loads.exchange(
            now,
            {item.identity: home_by_data_centre[item.data_centre] for item in targets},
            {item.identity: item.slots for item in targets},
        )
        for vm, load in news.loads.items():
            self._effects.append(SendToPeer(self.registrar.find_address(vm), load))
        if news.busy is not None:
            peers = self.list_near_peers()
            self._effects += (SendToPeer(address, news.busy) for address in peers)
        if news.distant_busy is not None:
            peers = self.list_distant_peers()
            self._effects += (SendToPeer(address, news.distant_busy) for address in peers)

    def _create_heartbeat(self, now: float) -> HubBeat:
        return HubBeat(
            self.record.vm,
            self.is_current(now),
            len(self.subscribers.serving),
            REPLICATION_REVISION,
        )

"""Entries that follow a hub, and what they are told."""

from ..avoidance import EvidenceNews
from ..base import Message
from ..registry import TargetNews
from ..replication import EmitEvent
from ._messages import (
    HubBeat,
    LoadReport,
    PushToSubscriber,
    RepeatAsk,
    RepeatReply,
    SendToPeer,
    Subscribe,
)
from ._state import HubState

# Changes among the entries are told together: many come at a start.
EDGES_SECONDS = 0.2


class EntriesMixin(HubState):
    """Tells entries the news, and takes theirs in."""

    def _handle_subscriber(self, now: float, number: int, message: Message) -> None:
        if isinstance(message, Subscribe):
            self._subscribe(now, number, message)
        elif isinstance(message, LoadReport):
            self.subscribers.record_load(number, message)
            for item in message.requests:
                self.retry_pool.record_requests(now, item.service, item.count)
        elif isinstance(message, RepeatAsk):
            self._answer_ask(now, number, message)
        elif isinstance(message, EvidenceNews):
            for item in message.items:
                self._evidence_for_entries.add_evidence(now, item)
                self._evidence_for_hubs.add_evidence(now, item)

    def _answer_ask(self, now: float, number: int, ask: RepeatAsk) -> None:
        is_granted = self.retry_pool.spend(now, ask.service)
        if not is_granted:
            fields = {"service": ask.service, "entry": self.subscribers.get_vm(number)}
            self._effects.append(EmitEvent("repeat_denied", fields))
        self._effects.append(PushToSubscriber(number, RepeatReply(ask.number, is_granted)))

    def _subscribe(self, now: float, number: int, message: Subscribe) -> None:
        is_known = number in self.subscribers.numbers
        if message.is_lookup:
            self.subscribers.put_lookup(number)
            self._effects.append(PushToSubscriber(number, self._create_beat(now)))
            self._effects.append(PushToSubscriber(number, self.registrar.describe_hubs()))
            return
        if self.subscribers.put(number, message):
            self._edges_changed = True
        if is_known:
            return
        pushed: list[Message] = [self._create_beat(now), self.registrar.describe_hubs()]
        if self._remembered.version > message.version:
            pushed.append(self._remembered)
        pushed.append(self._describe_targets())
        self._effects += (PushToSubscriber(number, item) for item in pushed)
        self._edges_changed = True

    def _describe_targets(self) -> TargetNews:
        """Return all targets, as the same message until one changes: after a restart all ask."""
        if self._whole is None or self._whole_digest != self.targets.digest:
            self._whole_digest = self.targets.digest
            self._whole = TargetNews(self.targets.list_all(), is_whole=True)
        return self._whole

    def _pass_on(self, now: float) -> None:
        """Send the batches that are due."""
        if entries := self._targets_for_entries.take(now):
            self._effects += self.subscribers.push_all(TargetNews(entries))
        if entries := self._targets_for_hubs.take(now):
            news = TargetNews(entries)
            self._effects += (SendToPeer(address, news) for address in self.list_peers())
        if items := self._evidence_for_entries.take(now):
            self._effects += self.subscribers.push_evidence(items)
        if items := self._evidence_for_hubs.take(now):
            relayed = EvidenceNews(items, True)
            self._effects += (SendToPeer(address, relayed) for address in self.list_peers())

    def _push_edges(self, now: float) -> None:
        """Tell entries who serves, several changes at once."""
        if not self._edges_changed or now - self._edges_at < EDGES_SECONDS:
            return
        self._edges_changed, self._edges_at = False, now
        followers = len(self.subscribers.serving)
        # Entries of a hub that is gone follow another one by now.
        elsewhere = self._edges_elsewhere.items()
        total = followers + sum(n for vm, n in elsewhere if self.registrar.is_alive(now, vm))
        self.retry_pool.set_share(followers, total)
        self._effects += self.subscribers.push_edges(total)

    def _exchange_loads(self, now: float) -> None:
        self.loads.set_own(self.subscribers.compute_load())
        for vm in self.registrar.list_silent(now):
            self.loads.forget_hub(vm)
        if self.loads.is_due(now):
            self._tell_loads(now)
        self._effects += self.subscribers.push_load(now, self.loads.compute_totals())

    def _tell_loads(self, now: float) -> None:
        """Tell other hubs what entries here hold at targets near them, and who is busy here."""
        targets = self.targets.list_all()
        homes = {}
        for data_centre in {item.data_centre for item in targets}:
            homes[data_centre] = self.registrar.find_home(now, data_centre)
        away, busy = self.loads.exchange(
            now,
            {item.identity: homes[item.data_centre] for item in targets},
            {item.identity: item.slots for item in targets},
        )
        for vm, news in away.items():
            self._effects.append(SendToPeer(self.registrar.find_address(vm), news))
        if busy is not None:
            self._effects += (SendToPeer(address, busy) for address in self.list_peers())

    def _create_beat(self, now: float) -> HubBeat:
        return HubBeat(self.record.vm, self.is_current(now), len(self.subscribers.serving))

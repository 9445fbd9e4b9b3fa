"""Targets that announce themselves, and the news of them."""

from ..registry import (
    TargetDigest,
    TargetNews,
    TargetNewsReceived,
    TargetState,
)
from ..replication import (
    EmitEvent,
)
from ._messages import (
    AnnounceReply,
    AnnounceTarget,
    SaveMessage,
    SendToPeer,
)
from ._state import TARGETS, HubState

# So often in a row two books must differ before one is asked for as a whole.
DIFFERENCES = 2


class TargetsMixin(HubState):
    """Hears targets, and agrees on them with the other hubs."""

    def _take_announcement(self, now: float, call: int, message: AnnounceTarget) -> None:
        entry = self.registrar.complete(now, message.target, self.targets)
        is_new = entry is not None and self.targets.merge(now, entry)
        is_leaving = message.target.state != TargetState.READY
        if entry is None:
            # It leaves and was never heard of, so nobody sends it anything.
            self._reply(call, AnnounceReply(self.record.announcements))
            return
        if is_new:
            held = self.targets.get(entry.identity)
            self._effects.append(
                EmitEvent(
                    "target_changed",
                    {"target": held.identity, "state": held.state, "service": held.service},
                )
            )
        if not is_leaving:
            if is_new:
                self._spread_changes([self.targets.get(entry.identity)])
            address = self.registrar.choose_hub(now, entry.data_centre)
            self._reply(call, AnnounceReply(address))
            return
        self._save_targets(now)
        news = self._drains.add(now, call, TargetNews((self.targets.get(entry.identity),)))
        self._effects += self.subscribers.push_all(TargetNews(news.targets))
        self._effects += (SendToPeer(address, news) for address in self.list_peers())
        self._answer_drains(now)

    def _answer_drains(self, now: float) -> None:
        membership = self.replica.membership
        voters = frozenset(item.vm for item in membership.members if item.voting)
        heard = self.registrar.list_heard(now)
        for call in self._drains.take_confirmed(now, voters=voters, heard=heard):
            self._reply(call, AnnounceReply(self.record.announcements))
        for vm, news in self._drains.list_resends(now, heard):
            self._effects.append(SendToPeer(self.registrar.find_address(vm), news))

    def _take_news(self, now: float, news: TargetNews) -> None:
        changed = [item for item in news.targets if self.targets.merge(now, item)]
        held = tuple(self.targets.get(item.identity) for item in changed)
        if held and news.number:
            self._effects += self.subscribers.push_all(TargetNews(held))
        elif held:
            for entry in held:
                self._targets_for_entries.add_target(entry)
        if news.number:
            self._save_targets(now)
            sender = self.registrar.find_address(news.sender)
            if sender:
                received = TargetNewsReceived(news.number, self.record.vm)
                self._effects.append(SendToPeer(sender, received))

    def _compare(self, digest: TargetDigest) -> None:
        address = self.registrar.find_address(digest.vm)
        if not address:
            return
        if digest.wants_all:
            self._effects.append(SendToPeer(address, TargetNews(self.targets.list_all())))
            return
        if digest.digest == self.targets.digest:
            self._differences[digest.vm] = 0
            return
        # A single difference is mostly news on its way.
        self._differences[digest.vm] = self._differences.get(digest.vm, 0) + 1
        if self._differences[digest.vm] >= DIFFERENCES:
            self._differences[digest.vm] = 0
            wanted = TargetDigest(self.record.vm, self.targets.digest, wants_all=True)
            self._effects.append(SendToPeer(address, wanted))

    def _save_targets(self, now: float) -> None:
        """Keep the targets, so that a drain that is acknowledged outlasts a restart."""
        if self.targets.digest == self._saved_digest:
            return
        self._saved_digest, self._saved_at = self.targets.digest, now
        news = TargetNews(self.targets.list_all(), is_whole=True)
        self._effects.append(SaveMessage(TARGETS, news))

    def _spread_changes(self, entries: list) -> None:
        for entry in entries:
            self._targets_for_entries.add_target(entry)
            self._targets_for_hubs.add_target(entry)

"""Gossip between entries."""

from collections.abc import Collection
from random import Random

from ..base import Effect, StateMachine
from ..health import PoisonNote, PoisonRegister
from ._entries import EntryTable
from ._messages import Announcement, EntryRecord, Gossip, SendGossip
from ._rumors import RumorQueue
from ._targets import BUCKET_COUNT, TargetTable

ROUND_SECONDS = 0.5
FAN_OUT = 2
URGENT_FAN_OUT = 4
RUMORS_PER_MESSAGE = 40
SYNC_SECONDS = 2.0
ISOLATED_SECONDS = 3.0
ENTRIES_BUCKET = BUCKET_COUNT


class GossipNode(StateMachine):
    """Disseminates records of entries and targets, and crashes of targets, by gossip.

    Parameters
    ----------
    own : EntryRecord
        The record of this entry.
    seeds : tuple of str
        Peer addresses to contact while no other entry is known, and now and then afterwards.
    random : Random
        Chooses peers.
    """

    def __init__(self, *, own: EntryRecord, seeds: tuple[str, ...], random: Random):
        self.entries = EntryTable(own)
        self.targets = TargetTable(own.vm)
        self.poison = PoisonRegister()
        self.seeds = tuple(seed for seed in seeds if seed != own.peer)
        self.random = random
        self.revision = 0
        self._poison_rumors = RumorQueue()
        self.is_control_reached = False
        self._last_received_at: float | None = None
        self._round_at = float("-inf")
        self._sync_at = float("-inf")

    def handle(self, now: float, message: Gossip) -> list[Effect]:
        """Merge a gossip message, and reply to it where needed."""
        self._last_received_at = now
        self.entries.set_isolated(False)
        self.entries.record_received(message.source.vm)
        for record in (message.source, *message.entries):
            self.entries.merge(now, record)
        changed = [self.targets.merge(now, record) for record in message.targets]
        effects: list[Effect] = []
        if any([self._record_poison(now, note) for note in message.poisons]):
            # Urgent, because the caller may retry the request at once at any entry.
            effects += self._spread(now, URGENT_FAN_OUT)
        wanted = self._find_differing_buckets(now, message) if not any(changed) else ()
        if not message.is_reply or message.wanted or wanted:
            answer = self._create_gossip(
                is_reply=True, wanted=wanted, requested_buckets=message.wanted
            )
            effects.append(SendGossip(message.source.peer, answer))
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Update failure detector and leases, and start a round of gossip when one is due."""
        self.entries.tick(now)
        self._update_isolation(now)
        changed = self.targets.tick(now, self.entries)
        self.poison.remove_expired(now)
        if changed:
            registrars = {vm for record in changed for vm in record.registrars}
            return self._spread(now, URGENT_FAN_OUT, registrars)
        if now - self._round_at < ROUND_SECONDS:
            return []
        self._round_at = now
        return self._spread(now, FAN_OUT)

    def announce(self, now: float, announcement: Announcement) -> list[Effect]:
        """Record a target's announcement; a change is gossiped at once."""
        is_change = self.targets.announce(now, announcement)
        return self._spread(now, URGENT_FAN_OUT) if is_change else []

    def record_crash(self, now: float, note: PoisonNote) -> list[Effect]:
        """Record and gossip that a target crashed while it ran a request."""
        return self._spread(now, URGENT_FAN_OUT) if self._record_poison(now, note) else []

    def leave(self, now: float) -> list[Effect]:
        """Withdraw this entry and gossip that at once."""
        self.entries.leave()
        return self._spread(now, URGENT_FAN_OUT)

    def _update_isolation(self, now: float) -> None:
        """Suspect this entry itself while it receives nothing from any peer or control.

        Gossip spreads the suspicion through whatever links still work in the other direction.
        """
        if self._last_received_at is None:
            self._last_received_at = now
        has_peers = len(self.entries.list_records()) > 1
        is_without_contact = now - self._last_received_at >= ISOLATED_SECONDS
        self.entries.set_isolated(has_peers and is_without_contact and not self.is_control_reached)

    def _record_poison(self, now: float, note: PoisonNote) -> bool:
        is_new = self.poison.record(now, note)
        if is_new:
            self._poison_rumors.add(note, note)
        return is_new

    def _spread(self, now: float, fan_out: int, preferred: Collection[str] = ()) -> list[Effect]:
        """Send gossip to the peers on ``preferred`` VMs and to ``fan_out`` random other peers."""
        peers = self.entries.list_peers()
        chosen = [peer for peer in peers if peer.vm in preferred]
        others = [peer for peer in peers if peer.vm not in preferred]
        chosen += self.random.sample(others, min(fan_out, len(others)))
        addresses = [peer.peer for peer in chosen]
        if self.seeds and (not peers or self.random.random() < 1 / (len(peers) + 1)):
            # Seeds are contacted now and then, so that a fleet merges again after a partition.
            addresses.append(self.random.choice(self.seeds))
        for peer in chosen:
            self.entries.record_sent(now, peer.vm)
        return [
            SendGossip(address, self._create_gossip(is_reply=False))
            for address in dict.fromkeys(addresses)
        ]

    def _create_gossip(
        self,
        *,
        is_reply: bool,
        wanted: tuple[int, ...] = (),
        requested_buckets: tuple[int, ...] = (),
    ) -> Gossip:
        members = len(self.entries.list_records())
        targets = self.targets.rumors.select_batch(limit=RUMORS_PER_MESSAGE, members=members)
        entries = self.entries.rumors.select_batch(limit=RUMORS_PER_MESSAGE, members=members)
        if requested_buckets:
            requested_records = [
                item
                for number in requested_buckets
                for item in self.targets.list_bucket_records(number)
            ]
            targets = (*targets, *requested_records)
        if ENTRIES_BUCKET in requested_buckets:
            entries = self.entries.list_records()
        return Gossip(
            source=self.entries.own,
            entries=entries,
            targets=targets,
            poisons=self._poison_rumors.select_batch(limit=RUMORS_PER_MESSAGE, members=members),
            buckets=self._list_buckets(),
            wanted=wanted,
            revision=self.revision,
            is_reply=is_reply,
        )

    def _list_buckets(self) -> tuple[int, ...]:
        return (*self.targets.list_bucket_digests(), self.entries.digest)

    def _find_differing_buckets(self, now: float, message: Gossip) -> tuple[int, ...]:
        """Return the buckets whose digests differ, at most once per ``SYNC_SECONDS``.

        Not called for a message that changed target records: updates are still spreading then, and
        explain why digests differ.
        """
        if now - self._sync_at < SYNC_SECONDS or not message.buckets:
            return ()
        own = self._list_buckets()
        wanted = tuple(
            number
            for number, digest in enumerate(message.buckets)
            if number < len(own) and digest != own[number]
        )
        if wanted:
            self._sync_at = now
        return wanted

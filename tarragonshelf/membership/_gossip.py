"""Gossip of one entry with the others."""

from collections.abc import Collection
from random import Random

from ..base import Effect, StateMachine
from ..health import PoisonNote, PoisonRegister
from ._entries import EntryTable
from ._messages import Announcement, EntryRecord, Gossip, SendGossip
from ._rumors import RumorQueue
from ._targets import BUCKETS, TargetTable

ROUND_SECONDS = 0.5
FAN_OUT = 2
URGENT_FAN_OUT = 4
RUMORS_PER_MESSAGE = 40
SYNC_SECONDS = 2.0
ISOLATED_SECONDS = 3.0
ENTRIES_BUCKET = BUCKETS


class GossipNode(StateMachine):
    """Spreads and collects what entries know of each other, of targets and of crashes.

    Parameters
    ----------
    own : EntryRecord
        The record of this entry.
    seeds : tuple of str
        Peer addresses to ask while no other entry is known.
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
        self._heard_at: float | None = None
        self._round_at = float("-inf")
        self._sync_at = float("-inf")

    def handle(self, now: float, message: Gossip) -> list[Effect]:
        """Take gossip in and answer it."""
        self._heard_at = now
        self.entries.set_isolated(False)
        self.entries.note_heard(message.source.vm)
        for record in (message.source, *message.entries):
            self.entries.merge(now, record)
        changed = [self.targets.merge(now, record) for record in message.targets]
        effects: list[Effect] = []
        if any([self._record_poison(now, note) for note in message.poisons]):
            # The caller may send the request again at once, to any entry.
            effects += self._gossip(now, URGENT_FAN_OUT)
        wanted = self._find_wanted(now, message) if not any(changed) else ()
        if not message.is_reply or message.wanted or wanted:
            answer = self._create_gossip(
                is_reply=True, wanted=wanted, whole_buckets=message.wanted
            )
            effects.append(SendGossip(message.source.peer, answer))
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Start a round of gossip when it is due, and end leases."""
        self.entries.tick(now)
        self._notice_isolation(now)
        changed = self.targets.tick(now, self.entries)
        self.poison.remove_expired(now)
        if changed:
            registrars = {vm for record in changed for vm in record.registrars}
            return self._gossip(now, URGENT_FAN_OUT, registrars)
        if now - self._round_at < ROUND_SECONDS:
            return []
        self._round_at = now
        return self._gossip(now, FAN_OUT)

    def announce(self, now: float, announcement: Announcement) -> list[Effect]:
        """Take a target's announcement in; a change is passed on at once."""
        is_change = self.targets.announce(now, announcement)
        return self._gossip(now, URGENT_FAN_OUT) if is_change else []

    def record_crash(self, now: float, note: PoisonNote) -> list[Effect]:
        """Tell the fleet which request was under way as a target crashed."""
        return self._gossip(now, URGENT_FAN_OUT) if self._record_poison(now, note) else []

    def leave(self, now: float) -> list[Effect]:
        """Tell the fleet that this entry withdraws."""
        self.entries.leave()
        return self._gossip(now, URGENT_FAN_OUT)

    def _notice_isolation(self, now: float) -> None:
        """Withdraw while no peer and no control is heard, through whatever link is left."""
        if self._heard_at is None:
            self._heard_at = now
        knows_others = len(self.entries.list_records()) > 1
        is_silent = now - self._heard_at >= ISOLATED_SECONDS
        self.entries.set_isolated(knows_others and is_silent and not self.is_control_reached)

    def _record_poison(self, now: float, note: PoisonNote) -> bool:
        is_new = self.poison.record(now, note)
        if is_new:
            self._poison_rumors.add(note, note)
        return is_new

    def _gossip(self, now: float, fan_out: int, first: Collection[str] = ()) -> list[Effect]:
        """Send gossip to some peers by chance, and to those that are to hear it first."""
        peers = self.entries.list_peers()
        chosen = [peer for peer in peers if peer.vm in first]
        others = [peer for peer in peers if peer.vm not in first]
        chosen += self.random.sample(others, min(fan_out, len(others)))
        addresses = [peer.peer for peer in chosen]
        if self.seeds and (not peers or self.random.random() < 1 / (len(peers) + 1)):
            # A seed is asked now and then, so that two halves of a fleet find each other again.
            addresses.append(self.random.choice(self.seeds))
        for peer in chosen:
            self.entries.note_sent(now, peer.vm)
        return [
            SendGossip(address, self._create_gossip(is_reply=False))
            for address in dict.fromkeys(addresses)
        ]

    def _create_gossip(
        self,
        *,
        is_reply: bool,
        wanted: tuple[int, ...] = (),
        whole_buckets: tuple[int, ...] = (),
    ) -> Gossip:
        members = len(self.entries.list_records())
        targets = self.targets.rumors.take(limit=RUMORS_PER_MESSAGE, members=members)
        entries = self.entries.rumors.take(limit=RUMORS_PER_MESSAGE, members=members)
        if whole_buckets:
            held = [item for number in whole_buckets for item in self.targets.list_bucket(number)]
            targets = (*targets, *held)
        if ENTRIES_BUCKET in whole_buckets:
            entries = self.entries.list_records()
        return Gossip(
            source=self.entries.own,
            entries=entries,
            targets=targets,
            poisons=self._poison_rumors.take(limit=RUMORS_PER_MESSAGE, members=members),
            buckets=self._list_buckets(),
            wanted=wanted,
            revision=self.revision,
            is_reply=is_reply,
        )

    def _list_buckets(self) -> tuple[int, ...]:
        return (*self.targets.list_buckets(), self.entries.digest)

    def _find_wanted(self, now: float, message: Gossip) -> tuple[int, ...]:
        """Return the buckets to ask for: those that differ while no change is under way."""
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

"""Which hub hears which target, and which hubs there are."""

from collections.abc import Callable
from dataclasses import replace

from ..registry import TargetEntry, TargetRegistry, TargetState
from ._messages import HubNews, HubRecord

# Hubs greet each other every second; a target is not sent to one that was not heard so long.
HUB_ALIVE_SECONDS = 2.5
# A hub that was silent so long is no longer greeted, unless it is a member.
HUB_FORGOTTEN_SECONDS = 60.0
# Greetings repeat what they say of hubs so often.
GREETING_SECONDS = 10.0
# Targets announce themselves every few seconds at most; one that was silent so long is gone.
TARGET_SILENT_SECONDS = 30.0


class Registrar:
    """Completes what targets say, and spreads them over the hubs.

    Parameters
    ----------
    own : HubRecord
        This hub.
    places : dict of str to str
        Region of each data centre.
    """

    def __init__(self, own: HubRecord, places: dict[str, str]):
        self.own = own
        self.places = places
        self._hubs: dict[str, HubRecord] = {own.vm: own}
        self._heard_at: dict[str, float] = {}
        self._greeted_at: dict[str, float] = {}
        self._target_heard_at: dict[str, float] = {}

    # Hubs

    def list_addresses(self) -> set[str]:
        """Return the peer addresses of all hubs that are known."""
        return {item.address for item in self._hubs.values()}

    def find_address(self, vm: str) -> str:
        """Return the peer address of a hub, or an empty text."""
        record = self._hubs.get(vm)
        return record.address if record else ""

    def describe_hubs(self) -> HubNews:
        """Return all hubs that are known."""
        return HubNews(tuple(self._hubs.values()))

    def note_hubs(self, now: float, hubs: tuple[HubRecord, ...]) -> bool:
        """Take hubs in and tell whether any is new."""
        is_new = False
        for record in hubs:
            if record.vm != self.own.vm and self._hubs.get(record.vm) != record:
                self._hubs[record.vm] = record
                self._heard_at.setdefault(record.vm, now)
                is_new = True
        return is_new

    def note_heard(self, now: float, vm: str) -> None:
        """Take in that a hub was heard."""
        self._heard_at[vm] = now
        silent = [name for name, at in self._heard_at.items() if now - at > HUB_FORGOTTEN_SECONDS]
        for name in silent:
            del self._heard_at[name]
            self._hubs.pop(name, None)

    def needs_greeting(self, now: float, address: str) -> bool:
        """Tell whether a hub should be told of all hubs again."""
        if now - self._greeted_at.get(address, float("-inf")) < GREETING_SECONDS:
            return False
        self._greeted_at[address] = now
        return True

    def is_alive(self, now: float, vm: str) -> bool:
        """Tell whether a hub is this one or was heard a moment ago."""
        heard_at = self._heard_at.get(vm, float("-inf"))
        return vm == self.own.vm or now - heard_at < HUB_ALIVE_SECONDS

    def find_home(self, now: float, data_centre: str) -> str:
        """Return the VM of the hub that knows the load of a data centre's targets."""
        return self._find_nearest(now, data_centre, lambda item: (item.vm,)).vm

    def list_heard(self, now: float) -> frozenset[str]:
        """Return the VMs of this hub and of those that are heard."""
        return frozenset(vm for vm in self._hubs if self.is_alive(now, vm))

    def list_silent(self, now: float) -> list[str]:
        """Return the VMs of hubs that are known and not heard."""
        return [vm for vm in self._hubs if not self.is_alive(now, vm)]

    def choose_hub(self, now: float, data_centre: str) -> str:
        """Return where a target of a data centre does best to announce itself."""
        nearest = self._find_nearest(
            now, data_centre, lambda item: (item.vm != self.own.vm, item.vm)
        )
        return nearest.announcements

    def _find_nearest(
        self, now: float, data_centre: str, break_tie: Callable[[HubRecord], tuple]
    ) -> HubRecord:
        """Return the hub that is heard and nearest to a data centre."""
        alive = [item for item in self._hubs.values() if self.is_alive(now, item.vm)]
        region = self.places.get(data_centre)

        def measure(item: HubRecord) -> tuple:
            is_far = self.places.get(item.data_centre) != region
            return (item.data_centre != data_centre, is_far, *break_tie(item))

        return min(alive, key=measure)

    # Targets

    def note_target(self, now: float, identity: str) -> None:
        """Take in that a target is taken to be there, until it is silent for too long."""
        self._target_heard_at[identity] = now

    def complete(self, now: float, entry: TargetEntry, book: TargetRegistry) -> TargetEntry | None:
        """Return a target's word with what it left out, or None if nobody knows the target."""
        held = book.get(entry.identity)
        self._target_heard_at[entry.identity] = now
        if entry.state != TargetState.LEFT:
            return replace(entry, registrar=self.own.vm)
        if held is None:
            return None
        started = entry.started or held.started
        return replace(
            held, started=started, state=TargetState.LEFT, sequence=max(entry.sequence, 0)
        )

    def expire(self, now: float, book: TargetRegistry) -> list[TargetEntry]:
        """Return the targets of this hub that fell silent, marked as left."""
        silent = [
            identity
            for identity, at in self._target_heard_at.items()
            if now - at > TARGET_SILENT_SECONDS
        ]
        expired = []
        for identity in silent:
            del self._target_heard_at[identity]
            held = book.get(identity)
            if held is None or held.registrar != self.own.vm or held.state == TargetState.LEFT:
                continue
            entry = replace(held, state=TargetState.LEFT)
            if book.merge(now, entry):
                expired.append(entry)
        return expired

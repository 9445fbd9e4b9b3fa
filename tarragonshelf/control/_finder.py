"""Search for the leader among the controls."""

from ..replication import Refused, RefusedReason

PERMANENT_REASONS = (RefusedReason.UNKNOWN_NAME, RefusedReason.INVALID)


class LeaderFinder:
    """Keeps the leader's address, and tries the controls in turn while it is unknown.

    Concurrent calls share a finder. A failure or redirect counts only if it comes from the
    address that is still the next to try, so that calls that fail together advance by one control.

    Parameters
    ----------
    addresses : list of str
        Peer addresses of all controls.
    """

    def __init__(self, addresses: list[str]):
        self.addresses = addresses
        self._position = 0
        self._leader = ""

    @property
    def address(self) -> str:
        """The address to try next."""
        return self._leader or self.addresses[self._position % len(self.addresses)]

    def handle_refusal(self, address: str, refused: Refused) -> bool:
        """Process the refusal of a control, and return whether the call may be retried."""
        if refused.reason in PERMANENT_REASONS:
            return False
        if not refused.leader or refused.leader == address:
            self.handle_unreachable(address)
        elif address == self.address:
            self._leader = refused.leader
        return True

    def handle_unreachable(self, address: str) -> None:
        """Advance to the next control after one that did not answer."""
        if address == self.address:
            self._leader = ""
            self._position += 1
            if self.address == address:
                self._position += 1

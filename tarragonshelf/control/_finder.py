"""Where to send what only the leader can carry out."""

from ..replication import Refused, RefusedReason

FINAL_REASONS = (RefusedReason.UNKNOWN_NAME, RefusedReason.INVALID)


class LeaderFinder:
    """Remembers the leader's address and goes round the controls while it is not known.

    Calls share a finder. What one of them learns about an address counts only while that
    address is still the one to try, so that calls that fail together move on by one.

    Parameters
    ----------
    addresses : list of str
        Peer addresses of all controls.
    """

    def __init__(self, addresses: list[str]):
        self.addresses = addresses
        self._place = 0
        self._leader = ""

    @property
    def address(self) -> str:
        """The address to try next."""
        return self._leader or self.addresses[self._place % len(self.addresses)]

    def handle_refusal(self, address: str, refused: Refused) -> bool:
        """Take a refusal of an address in and return whether another try may do better."""
        if refused.reason in FINAL_REASONS:
            return False
        if not refused.leader or refused.leader == address:
            self.handle_unreachable(address)
        elif address == self.address:
            self._leader = refused.leader
        return True

    def handle_unreachable(self, address: str) -> None:
        """Go on to the next control after one that did not answer."""
        if address == self.address:
            self._leader = ""
            self._place += 1
            if self.address == address:
                self._place += 1

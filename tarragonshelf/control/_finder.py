"""Where to send what only the leader can carry out."""

from ._messages import Refused, RefusedReason


class LeaderFinder:
    """Remembers the leader's address and goes round the controls while it is not known.

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

    def note_refused(self, refused: Refused) -> bool:
        """Take a refusal in and return whether another try may do better."""
        if refused.reason == RefusedReason.UNKNOWN_NAME:
            return False
        if refused.leader and refused.leader != self._leader:
            self._leader = refused.leader
            return True
        self.note_failed()
        return True

    def note_failed(self) -> None:
        """Go on to the next control after one that did not answer."""
        self._leader = ""
        self._place += 1

"""Links to peers by address."""

from ..utils import HybridClock
from ._codec import ThriftCodec, create_codec
from ._connection import Connection, Link
from ._frames import FrameCodec


class PeerLinks:
    """One link for each address that was asked for.

    Parameters
    ----------
    vm, role : str
        Who connects.
    secret : bytes
        The fleet secret.
    codec : ThriftCodec, optional
        Knows fewer messages than all.
    """

    def __init__(
        self,
        *,
        vm: str,
        role: str,
        secret: bytes,
        clock: HybridClock,
        handler=None,
        codec: ThriftCodec | None = None,
    ):
        self.vm = vm
        self.role = role
        self.secret = secret
        self.clock = clock
        self.handler = handler or (lambda connection, frame: None)
        self.frames = FrameCodec(codec or create_codec())
        self._links: dict[str, Link] = {}

    def get(self, address: str) -> Link:
        """Return the link to an address."""
        if address not in self._links:
            self._links[address] = Link(
                vm=self.vm,
                role=self.role,
                secret=self.secret,
                address=address,
                frames=self.frames,
                clock=self.clock,
                handler=self.handler,
            )
        return self._links[address]

    async def open(self, address: str) -> Connection:
        """Return a new connection to an address; raises ``UnreachableError``."""
        return await self.get(address).open()

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()

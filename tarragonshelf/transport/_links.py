"""Outgoing connections to peers by address."""

from collections.abc import Callable

from ..utils import HybridClock
from ._codec import ThriftCodec, create_codec
from ._connection import Connection, Link
from ._frames import FrameCodec


class PeerLinks:
    """Creates and holds one link per peer address.

    Parameters
    ----------
    vm, role : str
        VM and role of this process, which it reports in the handshake.
    secret : bytes
        The fleet secret.
    clock : HybridClock
        Stamps outgoing frames and advances with incoming ones.
    handler : callable, optional
        Receives frames that are not replies; by default they are ignored.
    codec : ThriftCodec, optional
        Encodes messages; by default it supports those of all packages.
    report_unknown : callable, optional
        Reports messages that this build does not know; see ``FrameCodec``.
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
        report_unknown: Callable[..., None] | None = None,
    ):
        self.vm = vm
        self.role = role
        self.secret = secret
        self.clock = clock
        self.handler = handler or (lambda connection, frame: None)
        self.frames = FrameCodec(codec or create_codec(), report_unknown)
        self._links: dict[str, Link] = {}

    def get(self, address: str) -> Link:
        """Return the link to an address, which is created on first use."""
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
        """Return a new connection to an address; raise ``UnreachableError`` if there is none."""
        return await self.get(address).open()

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()

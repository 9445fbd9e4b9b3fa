"""Frames between processes: thrift codec, connections, calls."""

from ._codec import ThriftCodec, create_codec
from ._connection import (
    CallTimeoutError,
    Connection,
    Link,
    PeerServer,
    UnreachableError,
)
from ._frames import Frame, FrameCodec
from ._handshake import Challenge, Proof, Welcome, compute_proof

__all__ = [
    "CallTimeoutError",
    "Challenge",
    "Connection",
    "Frame",
    "FrameCodec",
    "Link",
    "PeerServer",
    "Proof",
    "ThriftCodec",
    "UnreachableError",
    "Welcome",
    "compute_proof",
    "create_codec",
]

"""Communication between processes: Thrift codec, frames, connections and calls."""

from ._batcher import MessageBatcher
from ._codec import EDGE_PACKAGES, SITE_PACKAGES, ThriftCodec, UnknownMessageError, create_codec
from ._connection import (
    USER_TIMEOUT_MILLISECONDS,
    CallTimeoutError,
    Connection,
    Link,
    PeerServer,
    UnknownReplyError,
    UnreachableError,
    compute_maximum_handshakes,
    set_user_timeout,
)
from ._frames import Frame, FrameCodec, UnknownMessage
from ._handshake import Challenge, Proof, Welcome, compute_proof
from ._links import PeerLinks
from ._listening import listen
from ._peer_calls import PeerCalls

__all__ = [
    "EDGE_PACKAGES",
    "SITE_PACKAGES",
    "USER_TIMEOUT_MILLISECONDS",
    "CallTimeoutError",
    "Challenge",
    "Connection",
    "Frame",
    "FrameCodec",
    "Link",
    "MessageBatcher",
    "PeerCalls",
    "PeerLinks",
    "PeerServer",
    "Proof",
    "ThriftCodec",
    "UnknownMessage",
    "UnknownMessageError",
    "UnknownReplyError",
    "UnreachableError",
    "Welcome",
    "compute_maximum_handshakes",
    "compute_proof",
    "create_codec",
    "listen",
    "set_user_timeout",
]

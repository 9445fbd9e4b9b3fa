"""Abstract base classes that all decision packages share."""

from abc import ABC, abstractmethod
from typing import Any


class Message:
    """Base of everything that travels between processes or enters a state machine."""

    __slots__ = ()


class Effect:
    """Base of everything that a state machine asks its daemon to carry out."""

    __slots__ = ()


class StateMachine(ABC):
    """A decision maker without input or output of its own.

    Time arrives as an argument in seconds of a monotonic clock, randomness as a seeded
    generator at construction, and everything else as typed messages.
    """

    @abstractmethod
    def handle(self, now: float, message: Message) -> list[Effect]:
        """Take one message in and return the effects to carry out, in order."""

    @abstractmethod
    def tick(self, now: float) -> list[Effect]:
        """Let time pass and return the effects that fell due."""


class Codec(ABC):
    """Turns messages into bytes and back."""

    @abstractmethod
    def encode(self, message: Any) -> bytes:
        """Return the bytes of a message."""

    @abstractmethod
    def decode(self, content: bytes) -> Any:
        """Return the message of some bytes; raises ``FrameError`` on malformed content."""


class FrameError(Exception):
    """Content that is not a well-formed message."""

"""Base classes of messages, effects, state machines and codecs."""

from abc import ABC, abstractmethod
from typing import Any


class Message:
    """Base class of messages between processes and of inputs to a state machine."""

    __slots__ = ()


class Effect:
    """Base class of actions that a state machine requests and its process executes."""

    __slots__ = ()


class StateMachine(ABC):
    """A deterministic state machine that performs no input or output itself.

    Time is passed to each method in seconds of a monotonic clock, a random generator to the
    constructor, and all other input as typed messages.
    """

    @abstractmethod
    def handle(self, now: float, message: Message) -> list[Effect]:
        """Process one message and return the effects to execute, in order."""

    @abstractmethod
    def tick(self, now: float) -> list[Effect]:
        """Process the passage of time and return the effects to execute, in order."""


class Codec(ABC):
    """Encodes messages as bytes and decodes them."""

    @abstractmethod
    def encode(self, message: Any) -> bytes:
        """Return a message as bytes."""

    @abstractmethod
    def decode(self, content: bytes) -> Any:
        """Return the message that was encoded; raise ``FrameError`` on malformed content."""


class FrameError(Exception):
    """Received or stored content is not a well-formed message, or a message is too long."""

"""What the readers of responses need to know of the protocol above HTTP."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

RawHeaders = Iterable[tuple[bytes, bytes]]


class ResponseDialect(ABC):
    """Which responses belong to a request, and which are valid.

    Attributes
    ----------
    is_length_required : bool
        Whether a body that ends with its connection is rejected.
    """

    is_length_required = False

    @abstractmethod
    def is_response_to(self, headers: RawHeaders, status: int, request_id: bytes) -> bool:
        """Return whether a response belongs to the request with this id."""

    @abstractmethod
    def names_request(self, headers: RawHeaders, request_id: bytes) -> bool:
        """Return whether a response names the request with this id."""

    @abstractmethod
    def find_problem(self, status: int, headers: RawHeaders) -> str:
        """Return why a response must not be forwarded to the caller, or an empty string."""

    @abstractmethod
    def get_idle_seconds(self, headers: RawHeaders) -> float:
        """Return for how many seconds a connection may stay idle after a response."""

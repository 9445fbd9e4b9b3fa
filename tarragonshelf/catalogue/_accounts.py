"""Authentication of callers by the keys of client accounts."""

from dataclasses import dataclass

from ._messages import Catalogue, ClientAccount, Route


@dataclass(frozen=True, slots=True)
class Authentication:
    """Whether a request may be forwarded, and the client account that it belongs to, if any."""

    is_accepted: bool
    account: ClientAccount | None = None


class AccountTable:
    """Client accounts of one catalogue by the digests of their keys.

    Parameters
    ----------
    catalogue : Catalogue
        The version in force.
    """

    def __init__(self, catalogue: Catalogue):
        self.needs_keys = catalogue.accounts is not None
        self._by_digest = {
            digest: account
            for account in catalogue.accounts or ()
            for digest in account.key_digests
        }

    def authenticate(self, route: Route, key_digest: bytes) -> Authentication:
        """Return whether a request for a route may be forwarded with a key.

        ``key_digest`` is empty if the request has no key. A known key counts on public routes,
        too: the request then belongs to the account.
        """
        account = self._by_digest.get(key_digest)
        is_accepted = account is not None or route.is_public or not self.needs_keys
        return Authentication(is_accepted, account)

"""Allowances of client accounts: requests of entries, combined and sent to the leader."""

from ..allowances import (
    AllowanceReply,
    AllowanceRequest,
    RelayedAllowanceReply,
    RelayedAllowanceRequest,
    Share,
)
from ..base import Message
from ._messages import PushToSubscriber, SendToPeer
from ._state import HubState

# Interval at which the number of entries in touch is recorded.
COUNT_INTERVAL_SECONDS = 0.2
# Time after which an entry has the version in force that removes an account.
REMOVED_RETRY_AFTER_SECONDS = 2.5


class AllowancesMixin(HubState):
    """Combines the requests of this hub's entries, and decides them while it leads."""

    def _handle_allowance_request(
        self, now: float, number: int, request: AllowanceRequest
    ) -> None:
        """Decide the request of an entry if this hub leads, or else ask the leader."""
        if self.replica.is_leader or not self.leader_address or not self.is_current(now):
            reply = self._allocate_allowance(now, request)
            self._effects.append(PushToSubscriber(number, reply))
            return
        waiter = (number, request.number)
        combined = self.allowance_requests.add(now, request.account, request.count, waiter)
        self._relay_allowance_request(combined)

    def _relay_allowance_request(self, request: AllowanceRequest | None) -> None:
        if request is not None:
            relayed = RelayedAllowanceRequest(self.record.address, request)
            self._effects.append(SendToPeer(self.leader_address, relayed))

    def _handle_relayed_allowance(self, now: float, message: Message) -> None:
        if isinstance(message, RelayedAllowanceRequest):
            reply = RelayedAllowanceReply(self._allocate_allowance(now, message.request))
            self._effects.append(SendToPeer(message.address, reply))
            return
        shares, request = self.allowance_requests.complete(now, message.reply)
        self._push_allowance_shares(shares)
        self._relay_allowance_request(request)

    def _end_unanswered_allowances(self, now: float) -> None:
        """Tell entries that the leader does not answer, so that they decide themselves."""
        self._push_allowance_shares(self.allowance_requests.pop_timed_out(now))

    def _push_allowance_shares(self, shares: list[Share]) -> None:
        for share in shares:
            subscriber, number = share.waiter
            reply = AllowanceReply(
                number, share.granted, share.retry_after, share.interval, share.is_decided
            )
            self._effects.append(PushToSubscriber(subscriber, reply))

    def _allocate_allowance(self, now: float, request: AllowanceRequest) -> AllowanceReply:
        """Decide a request; only a leader that has contact with a quorum grants any."""
        if not self.replica.has_committed_in_term or not self.is_current(now):
            return AllowanceReply(request.number)
        self._read_catalogue()
        if self._accounts is None:
            return AllowanceReply(request.number)
        account = self._accounts.get(request.account)
        if account is None:
            # The newest version removes the account; the entry puts it in force soon.
            return AllowanceReply(request.number, 0, REMOVED_RETRY_AFTER_SECONDS, is_decided=True)
        return self.allowances.allocate(
            now, request, rate=account.rate, burst=account.burst, term=self.replica.term
        )

    def _record_entry_count(self, now: float) -> None:
        if now - self._entries_counted_at >= COUNT_INTERVAL_SECONDS:
            self._entries_counted_at = now
            self.allowances.entry_counts.record(now, self._count_entries(now))

"""Elections: pre-votes, votes and terms."""

from ..base import Message
from ._messages import (
    ElectNow,
    HardState,
    VoteReply,
    VoteRequest,
)
from ._state import ReplicaState, Role


class ElectionMixin(ReplicaState):
    """Campaigns for leadership and votes in elections."""

    def _start_pre_vote(self, now: float) -> None:
        self._become(now, Role.PRE_CANDIDATE)
        self._votes = {self.identity}
        self._request_votes(self.term + 1, pre_vote=True)
        self._count_votes(now)

    def _start_election(self, now: float) -> None:
        self._save_hard_state(HardState(self.term + 1, self.identity))
        self._become(now, Role.CANDIDATE)
        self._votes = {self.identity}
        self._request_votes(self.term, pre_vote=False)
        self._count_votes(now)

    def _request_votes(self, term: int, *, pre_vote: bool) -> None:
        request = VoteRequest(
            term,
            self.identity,
            self.log.last_index,
            self.log.last_term,
            pre_vote,
            self._is_transfer_election,
        )
        for identity in self.membership.voters - {self.identity}:
            self._send(identity, request)

    def _count_votes(self, now: float) -> None:
        if not self.membership.is_quorum(self._votes):
            return
        if self.role == Role.PRE_CANDIDATE:
            self._start_election(now)
        elif self.role == Role.CANDIDATE:
            self._become_leader(now)

    def _handle_vote_request(self, now: float, request: VoteRequest) -> None:
        has_live_leader = (
            now - self.last_leader_contact < self.timing.election_timeout or self.is_leader
        )
        if has_live_leader and not request.transfer:
            self._reply_to_vote(request, granted=False)
            return
        own_position = (self.log.last_term, self.log.last_index)
        is_up_to_date = (request.last_term, request.last_index) >= own_position
        granted = self.is_voter and is_up_to_date and request.term >= self.term
        if not request.pre_vote:
            granted = granted and self.hard_state.vote in ("", request.candidate)
            if granted:
                self._save_hard_state(HardState(self.term, request.candidate))
                self._reset_deadline(now)
        elif request.term == self.term:
            granted = granted and self.role != Role.LEADER
        self._reply_to_vote(request, granted=granted)

    def _reply_to_vote(self, request: VoteRequest, *, granted: bool) -> None:
        term = request.term if request.pre_vote and granted else self.term
        self._send(request.candidate, VoteReply(term, self.identity, granted, request.pre_vote))

    def _handle_vote_reply(self, now: float, reply: VoteReply) -> None:
        expected_role = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        expected_term = self.term + 1 if reply.pre_vote else self.term
        if self.role == expected_role and reply.granted and reply.term == expected_term:
            self._votes.add(reply.voter)
            self._count_votes(now)

    def _handle_elect_now(self, now: float, request: ElectNow) -> None:
        if request.term == self.term and self.is_voter and not self.is_leader:
            self._is_transfer_election = True
            self._start_election(now)
            self._is_transfer_election = False

    def _observe_term(self, now: float, message: Message) -> None:
        """Adopt the higher term of a message and become a follower.

        Pre-vote requests and granted pre-votes do not change the term. Vote requests do not
        while this replica has contact with a leader, unless that leader transfers its leadership.
        """
        if message.term <= self.term:
            return
        if isinstance(message, VoteRequest):
            has_live_leader = (
                now - self.last_leader_contact < self.timing.election_timeout or self.is_leader
            )
            if message.pre_vote or (has_live_leader and not message.transfer):
                return
        if isinstance(message, VoteReply) and message.pre_vote and message.granted:
            return
        self._save_hard_state(HardState(message.term, ""))
        self._step_down(now)

    def _step_down(self, now: float) -> None:
        self.leader = ""
        self._reads = []
        self._transfer_target = ""
        self._become(now, Role.FOLLOWER)

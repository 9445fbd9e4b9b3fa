"""Carries out the effects of one request's state machine."""

import asyncio

from multidict import CIMultiDict

from ..base import Message
from ..execution import (
    Attempt,
    AttemptEnded,
    AttemptResult,
    AttemptSlow,
    Cancel,
    ClaimAnswered,
    Command,
    Reject,
    Request,
    RequestContext,
    Respond,
    SettleAnswered,
    Started,
    SubmitClaim,
    SubmitSettle,
    Wait,
    WaitEnded,
    create_request_machine,
)
from ..ledger import Answer, ClaimResult, SettleKey
from ..routing import Balancer
from ..utils import compute_digest
from ._courier import Courier
from ._upstream import Upstream


class RequestRunner:
    """Runs requests of one entry.

    Parameters
    ----------
    context : RequestContext
        What the entry knows and keeps.
    balancer : Balancer
        Counts what each target holds.
    upstream : Upstream
        Sends attempts.
    courier : Courier
        Brings commands to the ledger.
    kept_answer : int
        Bytes of an answer's body that the ledger keeps.
    flush : callable
        Carries out what the context has pending.
    report : callable
        Takes an event name and fields.
    """

    def __init__(
        self,
        *,
        context: RequestContext,
        balancer: Balancer,
        upstream: Upstream,
        courier: Courier,
        kept_answer: int,
        flush,
        report,
    ):
        self.context = context
        self.balancer = balancer
        self.upstream = upstream
        self.courier = courier
        self.kept_answer = kept_answer
        self.flush = flush
        self.report = report

    async def run(self, request: Request, headers: CIMultiDict, body: bytes) -> Respond | Reject:
        """Bring a request to its end and return the answer for the caller."""
        machine = create_request_machine(request, self.context)
        attempts = AttemptSlot(self, request, headers, body)
        try:
            message: Message = Started()
            while True:
                effects = machine.handle(_read_time(), message)
                self.flush()
                message = None
                for effect in effects:
                    if isinstance(effect, Respond | Reject):
                        return effect
                    message = await self._carry_out(request, effect, attempts) or message
                while message is None:
                    message = await attempts.wait()
        finally:
            attempts.cancel()

    async def _carry_out(self, request: Request, effect, attempts) -> Message | None:
        if isinstance(effect, Attempt):
            attempts.start(effect)
        elif isinstance(effect, Cancel):
            attempts.cancel()
        elif isinstance(effect, Command):
            self.courier.post(effect.command)
        elif isinstance(effect, Wait):
            await asyncio.sleep(effect.seconds)
            return WaitEnded()
        elif isinstance(effect, SubmitClaim):
            return await self._claim(request, effect)
        elif isinstance(effect, SubmitSettle):
            return await self._settle(request, effect)
        return None

    async def _claim(self, request: Request, effect: SubmitClaim) -> ClaimAnswered:
        key = str(effect.command.key)
        self.report("claim_submitted", request=request.number, key=key)
        result = await self.courier.submit(effect.command, effect.timeout)
        result = result if isinstance(result, ClaimResult) else None
        state = str(result.state) if result else "no-answer"
        self.report("claim_answered", request=request.number, key=key, state=state)
        return ClaimAnswered(result)

    async def _settle(self, request: Request, effect: SubmitSettle) -> SettleAnswered:
        command = _trim(effect.command, self.kept_answer)
        result = await self.courier.submit(command, effect.timeout)
        is_kept = isinstance(result, ClaimResult)
        self.report("order_settled", request=request.number, key=str(command.key), kept=is_kept)
        return SettleAnswered(is_kept)


class AttemptSlot:
    """The one attempt that is under way for a request.

    Parameters
    ----------
    runner : RequestRunner
        Sends and counts attempts.
    request, headers, body
        What every attempt sends.
    """

    def __init__(self, runner: RequestRunner, request: Request, headers, body: bytes):
        self.runner = runner
        self.request = request
        self.headers = headers
        self.body = body
        self._attempt: Attempt | None = None
        self._task: asyncio.Task | None = None
        self._slow_at: float | None = None
        self._ends_at = 0.0

    def start(self, attempt: Attempt) -> None:
        """Send the request to a target."""
        now = _read_time()
        headers = self.headers.copy()
        headers["Tarragonshelf-Deadline"] = str(max(1, int(attempt.timeout * 1000)))
        headers["Tarragonshelf-Request"] = str(self.request.number)
        self._attempt = attempt
        self._slow_at = now + attempt.hang
        self._ends_at = now + attempt.timeout
        self.runner.balancer.acquire(attempt.target.address)
        if self.request.route.not_repeatable:
            self._report("attempt_started", service=attempt.target.service)
        run = self.runner.upstream.run(self.request, attempt, headers, self.body)
        self._task = asyncio.get_running_loop().create_task(run)

    async def wait(self) -> Message | None:
        """Return the end of the attempt, or that it is slow."""
        until = self._ends_at if self._slow_at is None else self._slow_at
        done, _ = await asyncio.wait((self._task,), timeout=max(0.0, until - _read_time()))
        number = self._attempt.number
        if not done and self._slow_at is not None:
            self._slow_at = None
            return AttemptSlow(number)
        if not done:
            self._end("timed-out")
            return AttemptEnded(number, AttemptResult.TIMED_OUT)
        ended = self._task.result()
        self._end(str(ended.kind))
        return ended

    def cancel(self) -> None:
        """Close the connection of the attempt, if one is under way."""
        if self._task is not None:
            self._end("cancelled")

    def _end(self, kind: str) -> None:
        self._task.cancel()
        self._task = None
        self.runner.balancer.release(self._attempt.target.address)
        # Of lookups only what went wrong is told, as there are many of them.
        if self.request.route.not_repeatable or kind != AttemptResult.ANSWERED:
            self._report("attempt_ended", kind=kind)

    def _report(self, event: str, **fields) -> None:
        target = self._attempt.target.address
        self.runner.report(event, request=self.request.number, target=target, **fields)


def _trim(command: SettleKey, limit: int) -> SettleKey:
    """Return a command whose answer keeps only the digest of a body that is too large."""
    answer = command.answer
    if len(answer.body) <= limit:
        return command
    kept = Answer(answer.status, answer.headers, compute_digest(answer.body).encode(), True)
    return SettleKey(
        command.claim, command.key, kept, command.digest, command.service, command.window
    )


def _read_time() -> float:
    return asyncio.get_running_loop().time()

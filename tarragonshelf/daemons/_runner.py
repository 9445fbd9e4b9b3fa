"""Execution of requests: runs their state machines and the resulting effects."""

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
from ._command_submitter import CommandSubmitter
from ._upstream import Upstream


class RequestRunner:
    """Runs the requests of one entry.

    Parameters
    ----------
    context : RequestContext
        State of the entry that request state machines read and update.
    balancer : Balancer
        Counts the outstanding attempts per target.
    upstream : Upstream
        Sends attempts to targets.
    submitter : CommandSubmitter
        Submits commands to the ledger.
    kept_answer_bytes : int
        Maximum size of an answer's body that the ledger stores; of a larger one it stores only
        the digest.
    execute_pending_effects : callable
        Executes the effects that are pending in the context.
    report : callable
        Called with an event name and fields.
    """

    def __init__(
        self,
        *,
        context: RequestContext,
        balancer: Balancer,
        upstream: Upstream,
        submitter: CommandSubmitter,
        kept_answer_bytes: int,
        execute_pending_effects,
        report,
    ):
        self.context = context
        self.balancer = balancer
        self.upstream = upstream
        self.submitter = submitter
        self.kept_answer_bytes = kept_answer_bytes
        self.execute_pending_effects = execute_pending_effects
        self.report = report

    async def run(self, request: Request, headers: CIMultiDict, body: bytes) -> Respond | Reject:
        """Run a request until it ends, and return what the caller gets.

        Parameters
        ----------
        request : Request
            The request.
        headers : CIMultiDict
            Headers that attempts send to targets.
        body : bytes
            The complete body.
        """
        machine = create_request_machine(request, self.context)
        current_attempt = CurrentAttempt(self, request, headers, body)
        try:
            message: Message = Started()
            while True:
                effects = machine.handle(_read_time(), message)
                self.execute_pending_effects()
                message = None
                for effect in effects:
                    if isinstance(effect, Respond | Reject):
                        return effect
                    message = await self._execute(request, effect, current_attempt) or message
                while message is None:
                    message = await current_attempt.wait()
        finally:
            current_attempt.cancel()

    async def _execute(self, request: Request, effect, current_attempt) -> Message | None:
        if isinstance(effect, Attempt):
            current_attempt.start(effect)
        elif isinstance(effect, Cancel):
            current_attempt.cancel()
        elif isinstance(effect, Command):
            self.submitter.submit_in_background(effect.command)
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
        result = await self.submitter.submit(effect.command, effect.timeout)
        result = result if isinstance(result, ClaimResult) else None
        state = str(result.state) if result else "no-answer"
        self.report("claim_answered", request=request.number, key=key, state=state)
        return ClaimAnswered(result)

    async def _settle(self, request: Request, effect: SubmitSettle) -> SettleAnswered:
        command = _truncate_answer(effect.command, self.kept_answer_bytes)
        result = await self.submitter.submit(command, effect.timeout)
        is_kept = isinstance(result, ClaimResult)
        self.report("order_settled", request=request.number, key=str(command.key), kept=is_kept)
        return SettleAnswered(is_kept)


class CurrentAttempt:
    """The only attempt of a request that is in progress, if any.

    Parameters
    ----------
    runner : RequestRunner
        Provides the connections to targets and the counts per target.
    request, headers, body
        The request that every attempt sends.
    """

    def __init__(self, runner: RequestRunner, request: Request, headers, body: bytes):
        self.runner = runner
        self.request = request
        self.headers = headers
        self.body = body
        self._attempt: Attempt | None = None
        self._task: asyncio.Task | None = None
        self._slow_at: float | None = None
        self._times_out_at = 0.0

    def start(self, attempt: Attempt) -> None:
        """Start an attempt."""
        now = _read_time()
        headers = self.headers.copy()
        headers["Tarragonshelf-Deadline"] = str(max(1, int(attempt.timeout * 1000)))
        headers["Tarragonshelf-Request"] = str(self.request.number)
        self._attempt = attempt
        self._slow_at = now + attempt.hang
        self._times_out_at = now + attempt.timeout
        self.runner.balancer.acquire(attempt.target.address)
        if self.request.route.not_repeatable:
            self._report("attempt_started", service=attempt.target.service)
        coroutine = self.runner.upstream.run(self.request, attempt, headers, self.body)
        self._task = asyncio.get_running_loop().create_task(coroutine)

    async def wait(self) -> Message | None:
        """Wait until the attempt ends, or until it first exceeds its hang time-out.

        Returns
        -------
        Message
            ``AttemptEnded``; or ``AttemptSlow``, after which the attempt goes on.
        """
        deadline = self._times_out_at if self._slow_at is None else self._slow_at
        done, _ = await asyncio.wait((self._task,), timeout=max(0.0, deadline - _read_time()))
        number = self._attempt.number
        if not done and self._slow_at is not None:
            self._slow_at = None
            return AttemptSlow(number)
        if not done:
            self._finish("timed-out")
            return AttemptEnded(number, AttemptResult.TIMED_OUT)
        ended = self._task.result()
        self._finish(str(ended.kind))
        return ended

    def cancel(self) -> None:
        """Cancel the attempt in progress, if any, and close its connection."""
        if self._task is not None:
            self._finish("cancelled")

    def _finish(self, kind: str) -> None:
        self._task.cancel()
        self._task = None
        self.runner.balancer.release(self._attempt.target.address)
        # Lookups are frequent, so only their failed attempts are logged.
        if self.request.route.not_repeatable or kind != AttemptResult.ANSWERED:
            self._report("attempt_ended", kind=kind)

    def _report(self, event: str, **fields) -> None:
        target = self._attempt.target.address
        self.runner.report(event, request=self.request.number, target=target, **fields)


def _truncate_answer(command: SettleKey, limit: int) -> SettleKey:
    """Return the command; a body above ``limit`` bytes is replaced by its digest."""
    answer = command.answer
    if len(answer.body) <= limit:
        return command
    kept = Answer(answer.status, answer.headers, compute_digest(answer.body).encode(), True)
    return SettleKey(
        command.claim, command.key, kept, command.digest, command.service, command.window
    )


def _read_time() -> float:
    return asyncio.get_running_loop().time()

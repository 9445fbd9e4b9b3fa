"""Carries out the effects of one request's machine."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

from ..base import Effect, Message
from ..forwarding import (
    Attempt,
    AttemptEnded,
    AttemptOutcome,
    Cancel,
    ForwardingContext,
    ForwardRequest,
    Refuse,
    RequestMachine,
    RequestRetryGrant,
    RespondWith,
    RetryGrantAnswered,
    SetTimer,
    Started,
    TimerFired,
)
from ._dialect import RawHeaders, TargetDialect
from ._exchange import ExchangeFailedError
from ._pool import ConnectionPool


@dataclass(frozen=True, slots=True)
class Content:
    """What every attempt at a target sends."""

    method: bytes
    path: bytes
    headers: RawHeaders
    body: bytes
    identity: bytes
    has_body: bool


class Forwarder:
    """Runs requests of one entry.

    Parameters
    ----------
    context : ContextQueries
        What the entry knows and keeps.
    pool : ConnectionPool
        Connections to targets.
    dialect : TargetDialect
        How targets are spoken to.
    flush : callable
        Carries out what the context has pending.
    report : callable
        Takes an event name and fields.
    ask : callable
        Asks for a repeat of a service and tells whether it was granted.
    """

    def __init__(
        self,
        *,
        context: ForwardingContext,
        pool: ConnectionPool,
        dialect: TargetDialect,
        flush: Callable[[], None],
        report: Callable[..., None],
        ask: Callable[[str], Awaitable[bool]],
    ):
        self.context = context
        self.pool = pool
        self.dialect = dialect
        self.flush = flush
        self.report = report
        self.ask = ask

    async def run(self, request: ForwardRequest, content: Content) -> RespondWith | Refuse:
        """Bring a request to its end; cancel it if its caller has gone."""
        run = _Run(self, request, content)
        try:
            return await run.finish()
        except asyncio.CancelledError:
            run.abandon()
            raise

    async def attempt(self, run: "_Run", attempt: Attempt) -> AttemptEnded:
        """Send a request to a target and tell how that ended."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        target, content = attempt.target, run.content
        try:
            connection = await self.pool.get(target, is_repeatable=run.request.route.is_repeatable)
        except TimeoutError as error:
            self._report_failure(run, attempt, loop.time() - began, "unheard", repr(error))
            return AttemptEnded(attempt.number, AttemptOutcome.UNHEARD, loop.time() - began)
        except OSError as error:
            self._report_failure(run, attempt, loop.time() - began, "not-sent", repr(error))
            return AttemptEnded(attempt.number, AttemptOutcome.NOT_SENT, loop.time() - began)
        patience = attempt.deadline - loop.time()
        size = len(content.body) if content.has_body else None
        try:
            head = h11.Request(
                method=content.method,
                target=content.path,
                headers=self.dialect.write_headers(content.headers, target, patience, size),
            )
            answer = await connection.exchange(head, content.body, content.identity)
        except ExchangeFailedError as error:
            connection.close()
            self._report_failure(run, attempt, loop.time() - began, str(error.outcome), str(error))
            return AttemptEnded(attempt.number, error.outcome, loop.time() - began)
        except asyncio.CancelledError:
            connection.close()
            raise
        self.pool.put(target, connection)
        outcome = self.dialect.classify(answer)
        if outcome != AttemptOutcome.ANSWERED or answer.status >= 500:
            self._report_failure(
                run, attempt, loop.time() - began, str(outcome), f"status {answer.status}"
            )
        return AttemptEnded(attempt.number, outcome, loop.time() - began, answer)

    def _report_failure(
        self, run: "_Run", attempt: Attempt, seconds: float, outcome: str, reason: str
    ) -> None:
        self.report(
            "attempt_failed",
            request=run.name,
            target=attempt.target.identity,
            service=attempt.target.service,
            attempt=attempt.number,
            outcome=outcome,
            reason=reason,
            seconds=round(seconds, 4),
            was_trusted=not attempt.is_trial,
            **self.context.describe_target(asyncio.get_running_loop().time(), attempt.target),
        )


class _Run:
    """One request under way."""

    def __init__(self, forwarder: Forwarder, request: ForwardRequest, content: Content):
        self.forwarder = forwarder
        self.request = request
        self.content = content
        self.name = request.identity
        self.machine = RequestMachine(request, forwarder.context)
        self._loop = asyncio.get_running_loop()
        self._end: asyncio.Future = self._loop.create_future()
        self._tasks: dict[int, asyncio.Task] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._asking: asyncio.Task | None = None

    async def finish(self) -> RespondWith | Refuse:
        """Start, and return how the request ended."""
        self._handle(Started())
        try:
            return await self._end
        finally:
            if self._timer is not None:
                self._timer.cancel()

    def abandon(self) -> None:
        """Cancel what is under way."""
        self._carry_out(self.machine.abandon(self._loop.time()))
        self.forwarder.report("request_abandoned", request=self.name, service=self.request.service)

    def _handle(self, message: Message) -> None:
        if self._end.done():
            return
        self._carry_out(self.machine.handle(self._loop.time(), message))
        self.forwarder.flush()

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Attempt):
                self._start(effect)
            elif isinstance(effect, RequestRetryGrant):
                self._asking = self._loop.create_task(self._ask(effect.service))
            elif isinstance(effect, Cancel):
                self._tasks.pop(effect.number).cancel()
            elif isinstance(effect, SetTimer):
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = self._loop.call_at(effect.at, self._handle, TimerFired())
            elif isinstance(effect, RespondWith | Refuse) and not self._end.done():
                self._end.set_result(effect)

    async def _ask(self, service: str) -> None:
        self._handle(RetryGrantAnswered(await self.forwarder.ask(service)))

    def _start(self, attempt: Attempt) -> None:
        task = self._loop.create_task(self.forwarder.attempt(self, attempt))
        self._tasks[attempt.number] = task
        task.add_done_callback(lambda done: self._take_end(attempt.number, done))

    def _take_end(self, number: int, task: asyncio.Task) -> None:
        self._tasks.pop(number, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.forwarder.report("attempt_crashed", request=self.name, problem=repr(error))
            self._handle(AttemptEnded(number, AttemptOutcome.BROKEN))
            return
        self._handle(task.result())

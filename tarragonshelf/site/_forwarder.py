"""Executes the effects of the state machine of each request."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import replace
from errno import EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM

import h11

from ..base import Effect, Message
from ..exchange import ExchangeFailedError
from ..forwarding import (
    Attempt,
    AttemptEnded,
    AttemptOutcome,
    Cancel,
    ForwardingContext,
    ForwardRequest,
    PermitDecided,
    PermitNeeded,
    Refuse,
    RelayAttempt,
    RelayEnded,
    RelayOutcome,
    RequestMachine,
    RequestPermit,
    RequestRetryGrant,
    RespondWith,
    RetryGrantAnswered,
    SetTimer,
    Started,
    TargetAnswer,
    TimerFired,
)
from ..throttling import LimitStatement, PauseStatement
from ._interfaces import HttpDialect, RequestContent
from ._pool import ConnectionPool

# Errors of opening a connection for which this process or its VM is the reason.
OWN_ERRORS = frozenset({EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL})


class Forwarder:
    """Forwards the requests of one entry to targets.

    Parameters
    ----------
    context : ForwardingContext
        State of the entry that all requests share.
    pool : ConnectionPool
        Supplies connections to targets.
    dialect : HttpDialect
        Reads and writes the platform's headers.
    flush : callable
        Executes the pending effects of the context.
    report : callable
        Logs an event, given by its name and fields.
    request_retry : callable
        Requests a retry from the budget of a service and returns whether it was granted.
    request_permit : callable
        Requests a permit for a target with a limit and returns the decision.
    return_permit : callable
        Gives back a permit for a target that is not needed any longer.
    relay : callable
        Sends a request to another entry and returns how that ended.
    """

    def __init__(
        self,
        *,
        context: ForwardingContext,
        pool: ConnectionPool,
        dialect: HttpDialect,
        flush: Callable[[], None],
        report: Callable[..., None],
        request_retry: Callable[[str], Awaitable[bool]],
        request_permit: Callable[[PermitNeeded], Awaitable[PermitDecided]],
        return_permit: Callable[[str], None],
        relay: Callable[[RelayAttempt, RequestContent], Awaitable[RelayEnded]],
    ):
        self.context = context
        self.pool = pool
        self.dialect = dialect
        self.flush = flush
        self.report = report
        self.request_retry = request_retry
        self.request_permit = request_permit
        self.return_permit = return_permit
        self.relay = relay

    async def forward(
        self, request: ForwardRequest, content: RequestContent
    ) -> RespondWith | Refuse:
        """Return the result of a request; abandon it if the caller closes its connection."""
        execution = _RequestExecution(self, request, content)
        try:
            return await execution.run()
        except asyncio.CancelledError:
            execution.abandon()
            raise

    async def send_attempt(self, execution: "_RequestExecution", attempt: Attempt) -> AttemptEnded:
        """Send a request to a target and return how the attempt ended."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        target, content = attempt.target, execution.content
        try:
            connection = await self.pool.get(
                target, is_repeatable=execution.request.route.is_repeatable
            )
        except TimeoutError as error:
            self._report_failure(
                execution, attempt, loop.time() - started_at, "unheard", repr(error)
            )
            return AttemptEnded(attempt.number, AttemptOutcome.UNHEARD, loop.time() - started_at)
        except OSError as error:
            is_own = error.errno in OWN_ERRORS
            outcome = AttemptOutcome.NOT_STARTED if is_own else AttemptOutcome.NOT_SENT
            self._report_failure(
                execution, attempt, loop.time() - started_at, str(outcome), repr(error)
            )
            return AttemptEnded(attempt.number, outcome, loop.time() - started_at)
        if not self.context.is_usable(target):
            connection.close()
            self._report_failure(
                execution, attempt, loop.time() - started_at, "withdrawn", "the target leaves"
            )
            return AttemptEnded(attempt.number, AttemptOutcome.WITHDRAWN, loop.time() - started_at)
        try:
            head = self._create_head(content, attempt)
            response = await connection.exchange(head, content.body, content.request_id)
        except ExchangeFailedError as error:
            connection.close()
            self._report_failure(
                execution,
                attempt,
                loop.time() - started_at,
                str(error.outcome),
                f"{error.problem}: {error}",
            )
            pause = None if error.head is None else self._read_pause(error.head)
            seconds = loop.time() - started_at
            return AttemptEnded(attempt.number, error.outcome, seconds, pause=pause)
        except BaseException:
            connection.close()
            raise
        self.pool.put(target, connection)
        outcome = self.dialect.classify(response)
        if outcome != AttemptOutcome.ANSWERED or response.is_error:
            self._report_failure(
                execution,
                attempt,
                loop.time() - started_at,
                str(outcome),
                f"status {response.status}",
            )
        limit = self._read_limit(execution, attempt, response)
        pause = self._read_pause(response)
        is_leaving = self._read_departure(execution, response, target.identity)
        return AttemptEnded(
            attempt.number,
            outcome,
            loop.time() - started_at,
            response,
            limit,
            pause=pause,
            is_leaving=is_leaving,
        )

    def _create_head(self, content: RequestContent, attempt: Attempt) -> h11.Request:
        remaining_seconds = attempt.deadline - asyncio.get_running_loop().time()
        size = len(content.body) if content.has_body else None
        headers = self.dialect.write_headers(
            content.headers, attempt.target, remaining_seconds, size
        )
        return h11.Request(method=content.method, target=content.path, headers=headers)

    async def send_to_relay(
        self, execution: "_RequestExecution", attempt: RelayAttempt
    ) -> RelayEnded:
        """Send a request to another entry and return how the attempt ended."""
        started_at = asyncio.get_running_loop().time()
        ended = await self.relay(attempt, execution.content)
        if ended.answer is not None:
            is_leaving = self._read_departure(execution, ended.answer, ended.target)
            ended = replace(ended, is_leaving=is_leaving)
        self.report(
            "relay_ended",
            request=execution.request_id,
            relay=attempt.relay.address,
            attempt=attempt.number,
            outcome=ended.outcome,
            decline_reason=ended.decline_reason,
            target=ended.target,
            seconds=round(asyncio.get_running_loop().time() - started_at, 4),
        )
        return ended

    def _read_limit(
        self, execution: "_RequestExecution", attempt: Attempt, response: TargetAnswer
    ) -> LimitStatement | None:
        try:
            return self.dialect.read_limit(response)
        except ValueError as error:
            self.report(
                "limit_malformed",
                request=execution.request_id,
                target=attempt.target.identity,
                problem=str(error),
            )
            return None

    def _read_departure(
        self, execution: "_RequestExecution", response: TargetAnswer, target: str
    ) -> bool:
        try:
            return self.dialect.read_departure(response, target)
        except ValueError as error:
            self.report(
                "departure_ignored",
                request=execution.request_id,
                target=target,
                problem=str(error),
            )
            return False

    def _read_pause(self, response: TargetAnswer) -> PauseStatement | None:
        """Return the pause that a response requests; the entry reports malformed ones."""
        try:
            return self.dialect.read_pause(response)
        except ValueError as error:
            return PauseStatement(0.0, problem=str(error))

    def _report_failure(
        self,
        execution: "_RequestExecution",
        attempt: Attempt,
        seconds: float,
        outcome: str,
        reason: str,
    ) -> None:
        self.report(
            "attempt_failed",
            request=execution.request_id,
            target=attempt.target.identity,
            service=attempt.target.service,
            attempt=attempt.number,
            outcome=outcome,
            reason=reason,
            seconds=round(seconds, 4),
            was_trusted=not attempt.is_trial,
            **self.context.describe_target(asyncio.get_running_loop().time(), attempt.target),
        )


class _RequestExecution:
    """One request in flight."""

    def __init__(self, forwarder: Forwarder, request: ForwardRequest, content: RequestContent):
        self.forwarder = forwarder
        self.request = request
        self.content = content
        self.request_id = request.identity
        self.machine = RequestMachine(request, forwarder.context)
        self._loop = asyncio.get_running_loop()
        self._result: asyncio.Future = self._loop.create_future()
        self._tasks: dict[int, asyncio.Task] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._retry_task: asyncio.Task | None = None
        self._permit_task: asyncio.Task | None = None

    async def run(self) -> RespondWith | Refuse:
        """Start the request and return its result."""
        self._handle(Started())
        try:
            return await self._result
        finally:
            if self._timer is not None:
                self._timer.cancel()

    def abandon(self) -> None:
        """Cancel all attempts."""
        self._execute_effects(self.machine.abandon(self._loop.time()))
        self.forwarder.report(
            "request_abandoned", request=self.request_id, service=self.request.service
        )

    def _handle(self, message: Message) -> None:
        if self._result.done():
            return
        self._execute_effects(self.machine.handle(self._loop.time(), message))
        self.forwarder.flush()

    def _execute_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Attempt):
                crashed = AttemptEnded(effect.number, AttemptOutcome.GIVEN_UP)
                self._start(effect.number, self.forwarder.send_attempt(self, effect), crashed)
            elif isinstance(effect, RelayAttempt):
                crashed = RelayEnded(effect.number, RelayOutcome.BROKEN)
                self._start(effect.number, self.forwarder.send_to_relay(self, effect), crashed)
            elif isinstance(effect, RequestRetryGrant):
                self._retry_task = self._loop.create_task(self._request_retry(effect.service))
            elif isinstance(effect, RequestPermit):
                self._permit_task = self._loop.create_task(self._request_permit(effect.needed))
            elif isinstance(effect, Cancel):
                self._tasks.pop(effect.number).cancel()
            elif isinstance(effect, SetTimer):
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = self._loop.call_at(effect.at, self._handle, TimerFired())
            elif isinstance(effect, RespondWith | Refuse) and not self._result.done():
                self._result.set_result(effect)

    async def _request_retry(self, service: str) -> None:
        self._handle(RetryGrantAnswered(await self.forwarder.request_retry(service)))

    async def _request_permit(self, needed: PermitNeeded) -> None:
        decided = await self.forwarder.request_permit(needed)
        if self._result.done() and decided.target:
            self.forwarder.return_permit(decided.target)
        self._handle(decided)

    def _start(self, number: int, attempt: Coroutine, crashed: Message) -> None:
        """Run an attempt as a task; ``crashed`` is how it ended if the task raises an error."""
        task = self._loop.create_task(attempt)
        self._tasks[number] = task
        task.add_done_callback(lambda done: self._handle_attempt_done(number, done, crashed))

    def _handle_attempt_done(self, number: int, task: asyncio.Task, crashed: Message) -> None:
        self._tasks.pop(number, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.forwarder.report("attempt_crashed", request=self.request_id, problem=repr(error))
            self._handle(crashed)
            return
        self._handle(task.result())

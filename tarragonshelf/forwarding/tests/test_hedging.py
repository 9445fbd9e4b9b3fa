"""Early hedges shorten the tail of the response times and stay inside the operator's limit."""

from heapq import heappop, heappush
from math import exp
from random import Random

import pytest

from ...avoidance import EvidenceItem, EvidenceKind
from .. import (
    Attempt,
    AttemptEnded,
    AttemptOutcome,
    ForwardRequest,
    HedgeDenial,
    HedgeOutcome,
    HedgeResult,
    HedgingPolicy,
    HedgingSettings,
    Refuse,
    RequestMachine,
    RequestRetryGrant,
    RespondWith,
    ResponseTimeModel,
    RetryGrantAnswered,
    SetTimer,
    Started,
    TargetAnswer,
    TimerFired,
)
from .._hedging import MAXIMUM_TOKENS, ResponseTimeHistogram
from .fakes import FakeContext, create_route, create_target
from .test_balancer import Fixture

LOOKUP = create_route(is_repeatable=True, timeout=10.0)
ORDER = create_route(is_repeatable=False, timeout=10.0)
TAIL_SHARE, TAIL_FACTOR = 0.03, 7


def draw_seconds(random: Random) -> float:
    """Return a response time: log-normal, and for some requests seven times as long."""
    factor = TAIL_FACTOR if random.random() < TAIL_SHARE else 1
    return 0.25 * random.lognormvariate(0.0, 0.3) * factor


class Context(FakeContext):
    """An entry with a real balancer, latency model and hedging policy over five targets."""

    def __init__(self, settings: HedgingSettings | None, *, is_asking_hub: bool = False):
        super().__init__(retries=10**9)
        self.fixture = Fixture(*(create_target(f"t{number}") for number in range(5)))
        self.balancer, self.detector = self.fixture.balancer, self.fixture.avoidance
        self.model = ResponseTimeModel(1.0)
        self.is_asking_hub = is_asking_hub
        if settings is not None:
            names = ("targets", "avoidance", "limits", "pauses", "count_outstanding")
            parts = {name: getattr(self.balancer, name) for name in names}
            self.hedging = HedgingPolicy(settings, **parts)

    def choose_target(self, now, request, tried):
        return self.balancer.choose(now, request, self.fixture.profile, tried)

    def estimate_latency_thresholds(self, now, request, target):
        return self.model.thresholds

    def record_success(self, request, seconds, size):
        self.model.record(seconds)

    def spend_retry(self, now, service):
        return None if self.is_asking_hub else super().spend_retry(now, service)


def serve(context, draw, *, now=0.0, route=LOOKUP):
    """Run one request; return its result, its response time and the times of its attempts."""
    request = ForwardRequest("q", route, "s", now, now + route.timeout)
    machine = RequestMachine(request, context)
    began, events, attempts, timer = now, [(now, 0, Started())], [], 0.0
    while True:
        now, _, message = heappop(events)
        if isinstance(message, TimerFired) and now != timer:
            continue
        for effect in machine.handle(now, message):
            if isinstance(effect, RespondWith | Refuse):
                return effect, now - began, attempts
            if isinstance(effect, SetTimer):
                timer = effect.at
                heappush(events, (timer, 10, TimerFired()))
            elif isinstance(effect, Attempt):
                attempts.append(now)
                seconds, answer = draw(), TargetAnswer(200, (), b"")
                ended = AttemptEnded(effect.number, AttemptOutcome.ANSWERED, seconds, answer)
                heappush(events, (now + seconds, effect.number, ended))


def measure(settings, *, count=6000):
    """Return p95, p99 and the attempts for each request."""
    random, context = Random(5), Context(settings)
    results = [
        serve(context, lambda: draw_seconds(random), now=number * 20.0) for number in range(count)
    ]
    times = sorted(seconds for _, seconds, _ in results[1000:])
    attempts = sum(len(attempts) for *_, attempts in results[1000:])
    return times[int(0.95 * len(times))], times[int(0.99 * len(times))], attempts / len(times)


def prepare(**options) -> Context:
    """Return an entry that knows the response times and has hedges to spend."""
    context, random = Context(HedgingSettings(0.1), **options), Random(3)
    for _ in range(400):
        context.hedging.record_request(0.0, "s")
        context.hedging.record_response("r", draw_seconds(random))
    return context


def serve_slow(context, *, route=LOOKUP):
    """Serve a request whose first attempt hangs for 9 s; only early hedges are before 1 s."""
    draws = iter((9.0, 0.2, 0.2))
    context.model.record(1.0)
    context.model.record(1.0)
    result, seconds, attempts = serve(context, lambda: next(draws), route=route)
    return result, seconds, len([at for at in attempts if at < 1.0]) - 1


class TestTail:
    # Guards against a limit that shortens nothing, or costs more than the operator allowed.
    def test_tail_of_three_percent_at_seven_times_the_mean(self):
        today = measure(None)
        limited = measure(HedgingSettings(share=0.03, quantile=0.95))
        generous = measure(HedgingSettings(share=0.06, quantile=0.95))
        assert generous[1] < limited[1] < today[1]
        assert generous[1] < 0.95 * today[1]
        assert generous[0] < 1.02 * today[0]
        assert limited[2] <= today[2] + 0.031
        assert generous[2] <= today[2] + 0.061

    # Guards against a delay that a heavy tail moves away from the quantile that was asked for.
    @pytest.mark.parametrize(
        ("quantile", "deviations"), [(0.9, 1.282), (0.97, 1.881), (0.99, 2.326)]
    )
    def test_histogram_is_closer_than_the_log_normal_model(self, quantile, deviations):
        random = Random(1)
        actual = sorted(draw_seconds(random) for _ in range(50_000))[int(quantile * 50_000)]
        histogram_errors, model_errors = [], []
        for _ in range(20):
            histogram, model = ResponseTimeHistogram(), ResponseTimeModel(1.0)
            for _ in range(600):
                seconds = draw_seconds(random)
                histogram.record(seconds)
                model.record(seconds)
            estimate = exp(model._log_mean + deviations * model._log_variance**0.5)
            histogram_errors.append(abs(histogram.estimate(quantile) / actual - 1))
            model_errors.append(abs(estimate / actual - 1))
        assert sum(histogram_errors) < sum(model_errors)

    # Guards against a quantile of no data, and against one that falls with each hedge that wins.
    def test_quantile_needs_data_and_counts_attempts_whose_hedge_won(self):
        context = Context(HedgingSettings(0.1))
        for _ in range(40):
            context.hedging.record_response("r", 0.2)
        assert context.hedging.get_delay("r") is None
        context = prepare()
        before = context.hedging.get_delay("r")
        for number in range(200):
            serve(
                context, lambda: draw_seconds(context.fixture.balancer.random), now=20.0 * number
            )
        assert context.hedging.get_delay("r") == pytest.approx(before, rel=0.5)


class TestGrayTarget:
    def test_request_at_a_target_that_hangs_is_answered_by_its_hedge(self):
        context = prepare()
        result, seconds, hedges = serve_slow(context)
        assert (hedges, result.attempt, result.hedge) == (1, 2, HedgeResult(HedgeOutcome.WON))
        assert seconds < 1.0
        assert context.occupied == []

    # Guards against evidence against a target that only was slower than another one.
    def test_hedge_that_lost_is_no_evidence(self):
        context, draws = prepare(), iter((0.8, 5.0))
        result, _, attempts = serve(context, lambda: next(draws))
        assert (result.attempt, result.hedge.outcome) == (1, HedgeOutcome.LOST)
        assert len(attempts) == 2
        assert not {kind for _, kind in context.evidence} & {EvidenceKind.BROKEN}
        assert len({name for name, _ in context.evidence}) <= 1

    def test_order_is_never_hedged(self):
        assert serve_slow(prepare(), route=ORDER)[2] == 0


class TestLimits:
    # Guards against hedges that make an overload worse.
    @pytest.mark.parametrize("is_refusing", [True, False])
    def test_service_at_its_limit_gets_no_hedges(self, is_refusing):
        context = prepare()
        if is_refusing:
            context.detector.record(0.0, EvidenceItem("t4", EvidenceKind.FULL))
        else:
            context.balancer.update_peer_load(
                {f"t{n}": 2 + n % 2 for n in range(5)}, is_whole=True
            )
        assert serve_slow(context)[2] == 0
        assert context.hedging.find_denial(0.5, "s") == HedgeDenial.NO_ROOM

    @pytest.mark.parametrize("obstacle", ["avoided", "limited", "paused", "busy"])
    def test_unsuitable_targets_get_no_hedge(self, obstacle):
        context = prepare()
        for name in ("t0", "t1", "t2"):
            if obstacle == "avoided":
                context.detector.record(0.0, EvidenceItem(name, EvidenceKind.BROKEN))
            elif obstacle == "limited":
                context.fixture.limits.record(0.0, name, 5.0)
            elif obstacle == "paused":
                context.balancer.pauses.record(0.0, name, 5.0, sent_at=0.0)
            else:
                context.balancer.update_peer_load({"t0": 3, "t1": 3, "t2": 3}, is_whole=True)
        assert context.hedging.list_unsuitable(0.1, "s") == {"t0", "t1", "t2"}

    # Guards against a limit that holds on average only: a burst of slow requests uses it at once.
    @pytest.mark.parametrize("seed", range(5))
    def test_limit_holds_in_any_window(self, seed):
        context, random = Context(HedgingSettings(0.05)), Random(seed)
        hedged = []
        for number in range(2000):
            context.hedging.record_request(float(number), "s")
            is_due = random.random() < (0.9 if number // 300 % 2 else 0.01)
            hedged.append(is_due and context.hedging.find_denial(float(number), "s") is None)
            if hedged[-1]:
                context.hedging.spend("s")
        sums = [0]
        for item in hedged:
            sums.append(sums[-1] + item)
        for size in (1, 20, 100, 500, 2000):
            most = max(b - a for a, b in zip(sums, sums[size:], strict=False))
            assert most <= 0.05 * size + MAXIMUM_TOKENS
        assert sums[-1] > 40

    # Guards against a second repeat: the grant that comes late pays for the retry.
    def test_hub_grants_a_hedge_after_the_first_attempt_has_failed(self):
        context = prepare(is_asking_hub=True)
        request = ForwardRequest("q", LOOKUP, "s", 0.0, 10.0)
        machine = RequestMachine(request, context)
        at = machine.handle(0.0, Started())[-1].at
        assert isinstance(machine.handle(at, TimerFired())[0], RequestRetryGrant)
        failed = AttemptEnded(1, AttemptOutcome.BROKEN, at)
        assert machine.handle(at + 0.01, failed) == []
        effects = machine.handle(at + 0.02, RetryGrantAnswered(is_granted=True))
        assert [effect.number for effect in effects if isinstance(effect, Attempt)] == [2]
        answered = AttemptEnded(2, AttemptOutcome.ANSWERED, 0.1, TargetAnswer(200, (), b""))
        assert machine.handle(at + 0.1, answered)[-1].hedge is None
        assert context.hedging._tokens.list_tokens()["s"] == MAXIMUM_TOKENS

    def test_hub_denies_the_budget(self):
        context = prepare(is_asking_hub=True)
        machine = RequestMachine(ForwardRequest("q", LOOKUP, "s", 0.0, 10.0), context)
        at = machine.handle(0.0, Started())[-1].at
        machine.handle(at, TimerFired())
        effects = machine.handle(at + 0.01, RetryGrantAnswered(is_granted=False))
        assert not any(isinstance(effect, Attempt) for effect in effects)
        answered = AttemptEnded(1, AttemptOutcome.ANSWERED, 0.6, TargetAnswer(200, (), b""))
        hedge = machine.handle(0.6, answered)[-1].hedge
        assert hedge == HedgeResult(HedgeOutcome.DENIED, HedgeDenial.NO_BUDGET)

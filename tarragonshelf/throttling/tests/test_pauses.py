"""A target that asked for a pause gets nothing until it ends, and then not everything at once."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from .. import RequestedPauses
from .._pauses import (
    MAXIMUM_INTERVAL_SECONDS,
    MAXIMUM_PAUSE_SECONDS,
    MAXIMUM_SPREAD_SECONDS,
    MEMORY_SECONDS,
    REPORT_SECONDS,
    SPREAD_SHARE,
)


def create_pauses(seed: int = 1) -> RequestedPauses:
    return RequestedPauses(Random(seed))


def request_again(pauses: RequestedPauses, now: float, seconds: float) -> float:
    """Record a pause that follows the last one; return when requests are allowed again."""
    pauses.record(now, "t", seconds, sent_at=now)
    return now + pauses.compute_wait(now, "t")


def list_attempts(pauses: RequestedPauses, start: float, end: float) -> list[float]:
    """Return when requests are sent to a target if there is always one to send."""
    times = []
    for step in range(round((end - start) * 1000)):
        now = start + step / 1000
        if not pauses.is_paused(now, "t"):
            pauses.record_attempt(now, "t")
            times.append(now)
    return times


class TestRequestedPauses:
    def test_target_without_a_pause_gets_requests(self):
        pauses = create_pauses()
        assert not pauses.is_paused(1.0, "t")
        assert pauses.compute_wait(1.0, "t") == 0.0
        assert pauses.list_paused(1.0) == []

    def test_target_gets_nothing_before_the_end_of_its_pause(self):
        pauses = create_pauses()
        pause = pauses.record(10.0, "t", 2.0, sent_at=9.9)
        assert (pause.asked_seconds, pause.run) == (2.0, 1)
        assert 2.0 <= pause.seconds <= 2.0 * (1 + SPREAD_SHARE)
        assert pauses.is_paused(11.999, "t")
        assert pauses.list_paused(11.999) == ["t"]
        assert not pauses.is_paused(10.0 + pause.seconds, "t")

    @pytest.mark.parametrize("seconds", [0.0, -3.0])
    def test_no_time_is_no_pause(self, seconds):
        pauses = create_pauses()
        assert pauses.record(10.0, "t", seconds, sent_at=9.9) is None
        assert not pauses.is_paused(10.0, "t")

    def test_later_response_prolongs_a_pause_but_never_shortens_it(self):
        pauses = create_pauses()
        pauses.record(10.0, "t", 2.0, sent_at=9.9)
        assert pauses.record(10.1, "t", 0.1, sent_at=9.9) is None
        assert pauses.is_paused(11.999, "t")
        assert pauses.record(10.2, "t", 4.0, sent_at=9.9) is None
        assert pauses.is_paused(14.199, "t")
        assert not pauses.is_paused(14.2 + 2.0 * SPREAD_SHARE, "t")

    @pytest.mark.parametrize("seconds", [MAXIMUM_PAUSE_SECONDS + 1.0, 1e9, 1e300])
    def test_long_pause_is_cut_and_followed_by_one_request(self, seconds):
        pauses = create_pauses()
        pause = pauses.record(10.0, "t", seconds, sent_at=9.9)
        assert pause.asked_seconds == seconds
        resume_at = 10.0 + pause.seconds
        assert pause.seconds <= MAXIMUM_PAUSE_SECONDS + MAXIMUM_SPREAD_SECONDS
        assert len(list_attempts(pauses, resume_at, resume_at + MAXIMUM_INTERVAL_SECONDS)) == 1

    def test_pause_concerns_one_target(self):
        pauses = create_pauses()
        pauses.record(10.0, "t", 2.0, sent_at=9.9)
        assert not pauses.is_paused(10.5, "u")

    def test_forgotten_target_gets_requests(self):
        pauses = create_pauses()
        pauses.record(10.0, "t", 2.0, sent_at=9.9)
        assert pauses.forget("t")
        assert not pauses.is_paused(10.5, "t")
        assert not pauses.forget("t")

    def test_end_of_a_pause_is_reported_once(self):
        pauses = create_pauses()
        pause = pauses.record(10.0, "t", 2.0, sent_at=9.9)
        assert pauses.pop_resumed(11.9) == []
        assert pauses.pop_resumed(10.0 + pause.seconds) == ["t"]
        assert pauses.pop_resumed(20.0) == []
        pauses.pop_resumed(13.0 + MEMORY_SECONDS)
        assert pauses._states == {}

    def test_malformed_request_is_reported_once(self):
        pauses = create_pauses()
        assert pauses.record_malformed(10.0, "t")
        assert not pauses.record_malformed(11.0, "t")
        assert pauses.record_malformed(11.0, "u")
        pauses.pop_resumed(11.0 + REPORT_SECONDS)
        assert pauses.record_malformed(11.0 + REPORT_SECONDS, "t")


class TestReturn:
    """Processes return to a target spread out, slowly if it asks for a pause again and again."""

    @pytest.mark.parametrize("seconds", [0.5, 2.0, 8.0])
    def test_processes_return_spread_over_time(self, seconds):
        times = []
        for seed in range(100):
            pauses = create_pauses(seed)
            pauses.record(0.0, "t", seconds, sent_at=0.0)
            times.append(pauses.compute_wait(0.0, "t"))
        spread = max(0.25, SPREAD_SHARE * seconds)
        assert min(times) >= seconds
        for start in range(5):
            begin = seconds + start * spread / 5
            assert 5 <= sum(begin <= time < begin + spread / 5 for time in times) <= 40

    def test_first_pause_is_followed_by_all_requests(self):
        pauses = create_pauses()
        resume_at = request_again(pauses, 10.0, 2.0)
        assert len(list_attempts(pauses, resume_at, resume_at + 0.1)) >= 99

    def test_each_further_pause_is_followed_by_fewer_requests(self):
        pauses, now, counts = create_pauses(), 10.0, []
        for _ in range(5):
            now = request_again(pauses, now, 0.5)
            counts.append(len(list_attempts(pauses, now, now + 0.3)))
            now += 0.3
        assert counts == sorted(counts, reverse=True)
        assert counts[-1] <= 2
        # The rate doubles with each request, so the slow start ends.
        now = request_again(pauses, now, 0.5)
        assert len(list_attempts(pauses, now, now + 8.0)) > 1000

    def test_target_that_got_requests_for_some_time_starts_a_new_run(self):
        pauses = create_pauses()
        now = request_again(pauses, 10.0, 0.5)
        assert pauses.record(now + 1.0, "t", 0.5, sent_at=now).run == 2
        now += 1.0 + pauses.compute_wait(now + 1.0, "t") + MEMORY_SECONDS
        assert pauses.record(now, "t", 0.5, sent_at=now).run == 1

    def test_responses_to_earlier_requests_are_no_further_pauses(self):
        pauses = create_pauses()
        pauses.record(10.0, "t", 0.1, sent_at=9.0)
        pauses.record(10.05, "t", 0.1, sent_at=9.0)
        pauses.record(10.5, "t", 0.1, sent_at=9.9)
        now = 10.5 + pauses.compute_wait(10.5, "t")
        assert pauses.record(now, "t", 0.1, sent_at=now).run == 2


class TestRefusedCallers:
    def test_caller_that_another_target_could_serve_waits_for_no_pause(self):
        pauses = create_pauses()
        pauses.record(10.0, "t", 2.0, sent_at=9.9)
        assert pauses.compute_retry_after(10.0, ["t", "u"]) == 0.0
        assert pauses.compute_retry_after(10.0, []) == 0.0

    def test_callers_return_after_the_first_pause_ends_and_spread_out(self):
        pauses = create_pauses()
        pauses.record(10.0, "t", 9.0, sent_at=9.9)
        pauses.record(10.0, "u", 2.0, sent_at=9.9)
        wait = pauses.compute_wait(10.0, "u")
        times = [pauses.compute_retry_after(10.0, ["t", "u"]) for _ in range(200)]
        assert wait <= min(times) <= wait + 0.1
        assert wait + 0.8 <= max(times) <= 1.5 * wait


class TestMixes:
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["pause", "attempt", "forget", "pop"]),
                st.sampled_from("tu"),
                st.floats(0.0, 1.5),
                st.one_of(st.floats(-1.0, 5.0), st.floats(1e3, 1e12)),
                st.floats(0.0, 1.0),
            ),
            max_size=40,
        ),
        st.integers(0, 100),
    )
    def test_pause_holds_to_its_end_and_ends_in_bounded_time(self, steps, seed):
        pauses, now = create_pauses(seed), 100.0
        until = {"t": 0.0, "u": 0.0}
        for action, target, step, seconds, age in steps:
            now += step
            if action == "pause":
                pauses.record(now, target, seconds, sent_at=now - age)
                until[target] = max(until[target], now + min(seconds, MAXIMUM_PAUSE_SECONDS))
            elif action == "attempt":
                if not pauses.is_paused(now, target):
                    pauses.record_attempt(now, target)
            elif action == "forget":
                pauses.forget(target)
                until[target] = 0.0
            else:
                pauses.pop_resumed(now)
            for name, end in until.items():
                assert pauses.is_paused(now, name) or now >= end
                latest = max(now, end) + MAXIMUM_SPREAD_SECONDS + MAXIMUM_INTERVAL_SECONDS
                assert now + pauses.compute_wait(now, name) <= latest
                assert pauses.is_paused(now, name) == (pauses.compute_wait(now, name) > 0.0)

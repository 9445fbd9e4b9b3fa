"""Commands that are submitted in the background."""

import asyncio

import pytest

from ...control import SetDrained
from ...replication import Done, Refused, RefusedReason
from .._command_submitter import CommandSubmitter

COMMAND = SetDrained("a", True)


class FakeClient:
    """Returns given replies one after the other, the last one for ever."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.calls = 0

    async def submit(self, message, timeout):
        self.calls += 1
        return self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]


class TestBackground:
    # Guards against a command that is refused for good and is sent for ever: it kept the process
    # from stopping until the time-out and its calls came on top of all others.
    @pytest.mark.parametrize("reason", [RefusedReason.UNKNOWN_NAME, RefusedReason.INVALID])
    def test_permanent_refusal_ends_the_retries_and_is_reported(self, reason):
        async def run():
            client = FakeClient(Refused(reason, detail="no such service"))
            reports = []
            submitter = CommandSubmitter(
                client, report=lambda event, **fields: reports.append((event, fields))
            )
            submitter.submit_in_background(COMMAND)
            await asyncio.wait_for(submitter.wait_until_acknowledged(5.0), 0.2)
            assert (submitter.under_way, client.calls) == (0, 1)
            assert reports == [
                (
                    "command_refused",
                    {"command": "SetDrained", "reason": reason, "problem": "no such service"},
                )
            ]

        asyncio.run(run())

    def test_other_replies_are_retried_until_the_command_is_acknowledged(self):
        async def run():
            client = FakeClient(None, Refused(RefusedReason.BUSY), Done(7))
            submitter = CommandSubmitter(client, report=lambda event, **fields: None)
            submitter.submit_in_background(COMMAND)
            await submitter.wait_until_acknowledged(5.0)
            assert (submitter.under_way, client.calls) == (0, 3)

        asyncio.run(run())

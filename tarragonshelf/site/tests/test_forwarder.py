"""Permits of requests whose callers leave."""

import asyncio
from unittest import mock

import pytest

from ...forwarding import PermitDecided, PermitNeeded, RequestPermit
from .. import _forwarder
from .._forwarder import Forwarder

NEEDED = PermitNeeded("s", (), 1.0, False)


def unused(*arguments):
    raise NotImplementedError


class TestPermits:
    # Guards against a limit that callers who give up use up without a request.
    @pytest.mark.parametrize(("target", "returned"), [("i-1", ["i-1"]), ("", [])])
    def test_permit_of_a_caller_that_left_is_given_back(self, target, returned):
        async def run():
            decision = asyncio.get_running_loop().create_future()
            given_back = []

            async def request_permit(needed):
                return await decision

            forwarder = Forwarder(
                context=None,
                pool=None,
                dialect=None,
                flush=lambda: None,
                report=lambda event, **fields: None,
                request_retry=unused,
                request_permit=request_permit,
                return_permit=given_back.append,
                relay=unused,
            )
            with mock.patch.object(_forwarder, "RequestMachine") as create_machine:
                create_machine.return_value.handle.return_value = [RequestPermit(NEEDED)]
                create_machine.return_value.abandon.return_value = []
                request = mock.Mock(identity="r", service="s")
                task = asyncio.create_task(forwarder.forward(request, None))
                await asyncio.sleep(0)
                task.cancel()
                with pytest.raises(asyncio.CancelledError):
                    await task
                decision.set_result(PermitDecided(target))
                await asyncio.sleep(0.01)
            assert given_back == returned

        asyncio.run(run())

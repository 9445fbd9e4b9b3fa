"""A hub's process whose disk refuses, over a real folder."""

import asyncio
import errno
from unittest import mock

from ...hub import HubRecord
from ...hub.tests.fakes import FakeReader
from ...registry import TargetEntry, TargetState
from .._dialect import HubCalls
from .._hub import DISK_RETRY_SECONDS, HubService, HubSettings

TARGET = TargetEntry("i-1", 1, 1, TargetState.READY, "127.0.0.1:9", "s", "z", 3)


class NoCalls(HubCalls):
    async def answer(self, request, port):
        raise NotImplementedError


def create_service(folder) -> HubService:
    settings = HubSettings(
        name="c0",
        record=HubRecord("127.0.0.1", "127.0.0.1:7000", "127.0.0.1:80", "z"),
        places={"z": "r"},
        seeds=("127.0.0.1",),
        is_first_start=True,
        data_folder=str(folder),
        calls="127.0.0.1:0",
    )
    return HubService(settings, reader=FakeReader(), calls=NoCalls(), secret=b"s" * 16)


async def tick_until(service: HubService, check) -> None:
    for _ in range(200):
        service._process(is_tick=True)
        if check():
            return
        await asyncio.sleep(0.02)
    raise AssertionError("not reached")


class TestDisk:
    def test_a_full_disk_at_the_first_start_is_waited_for(self, tmp_path):
        async def work():
            service = create_service(tmp_path)
            refuse = OSError(errno.ENOSPC, "no space")
            with mock.patch("os.write", side_effect=refuse):
                service._restore()
                service._process(is_tick=True)
            service._disk_failed_at -= DISK_RETRY_SECONDS
            await tick_until(service, lambda: service.node and service.node.replica.is_leader)

        asyncio.run(work())

    def test_a_disk_that_refuses_keeps_targets_and_acknowledges_nothing(self, tmp_path):
        async def work():
            service = create_service(tmp_path)
            service._restore()
            await tick_until(service, lambda: service.node.replica.has_committed_in_term)
            assert await service.announce(TARGET) is not None
            leaving = TargetEntry("i-1", 1, 2, TargetState.LEFT)
            refuse = OSError(errno.ENOSPC, "no space")
            with mock.patch("os.write", side_effect=refuse):
                assert await service.announce(leaving) is None
            assert service.node.targets.get("i-1") is not None
            service._disk_failed_at -= DISK_RETRY_SECONDS
            await tick_until(service, lambda: service.node.replica.has_committed_in_term)
            assert await service.announce(leaving) is not None

        asyncio.run(work())

    def test_a_batch_that_fails_starts_the_replica_again(self, tmp_path):
        async def work():
            service = create_service(tmp_path)
            service._restore()
            await tick_until(service, lambda: service.node.replica.has_committed_in_term)
            before = service.node
            with mock.patch.object(before, "tick", side_effect=KeyError("x")):
                service._process(is_tick=True)
            assert service.node is not before
            assert not service.node.replica.is_leader

        asyncio.run(work())

"""A hub whose disk fails, with a real data folder."""

import asyncio
import errno
from unittest import mock

import pytest

from ...hub import HubRecord, Subscribe, SubscriberReceived
from ...hub.tests.fakes import FakeReader
from ...registry import TargetEntry, TargetNews, TargetState
from ...replication import PeerMessageReceived
from ...transport import Frame
from .._hub import DISK_RETRY_SECONDS, HubService, HubSettings
from .._interfaces import HubRequestHandler

TARGET = TargetEntry("i-1", 1, 1, TargetState.READY, "127.0.0.1:9", "s", "z", 3)


class UnusedRequestHandler(HubRequestHandler):
    async def handle(self, request, hub):
        raise NotImplementedError


def create_service(folder) -> HubService:
    settings = HubSettings(
        name="c0",
        record=HubRecord("127.0.0.1", "127.0.0.1:7000", "127.0.0.1:80", "z"),
        regions={"z": "r"},
        seeds=("127.0.0.1",),
        is_first_start=True,
        data_folder=str(folder),
        api_address="127.0.0.1:0",
    )
    return HubService(
        settings, reader=FakeReader(), request_handler=UnusedRequestHandler(), secret=b"s" * 16
    )


async def tick_until(service: HubService, is_reached) -> None:
    for _ in range(200):
        service._process_batch(is_tick=True)
        if is_reached():
            return
        await asyncio.sleep(0.02)
    raise AssertionError("the condition was not reached within 200 ticks")


class TestDisk:
    def test_first_start_on_a_full_disk_retries_until_there_is_space(self, tmp_path):
        async def test():
            service = create_service(tmp_path)
            disk_full = OSError(errno.ENOSPC, "no space")
            with mock.patch("os.write", side_effect=disk_full):
                service._restore()
                service._process_batch(is_tick=True)
            service._disk_failed_at -= DISK_RETRY_SECONDS
            await tick_until(service, lambda: service.node and service.node.replica.is_leader)

        asyncio.run(test())

    def test_failing_disk_keeps_targets_and_acknowledges_nothing(self, tmp_path):
        async def test():
            service = create_service(tmp_path)
            service._restore()
            await tick_until(service, lambda: service.node.replica.has_committed_in_term)
            assert await service.announce(TARGET) is not None
            leaving = TargetEntry("i-1", 1, 2, TargetState.LEFT)
            disk_full = OSError(errno.ENOSPC, "no space")
            with mock.patch("os.write", side_effect=disk_full):
                assert await service.announce(leaving) is None
            assert service.node.targets.get("i-1") is not None
            service._disk_failed_at -= DISK_RETRY_SECONDS
            await tick_until(service, lambda: service.node.replica.has_committed_in_term)
            assert await service.announce(leaving) is not None

        asyncio.run(test())

    def test_failed_batch_restarts_the_replica(self, tmp_path):
        async def test():
            service = create_service(tmp_path)
            service._restore()
            await tick_until(service, lambda: service.node.replica.has_committed_in_term)
            before = service.node
            with mock.patch.object(before, "tick", side_effect=KeyError("x")):
                service._process_batch(is_tick=True)
            assert service.node is not before
            assert not service.node.replica.is_leader

        asyncio.run(test())


class TestSenders:
    """Hubs and entries both send records of targets; a hub takes less from an entry."""

    @pytest.mark.parametrize("is_entry", [True, False])
    def test_records_of_targets_are_told_apart_by_their_sender(self, tmp_path, is_entry):
        async def test():
            service = create_service(tmp_path)
            connection = object()
            news = TargetNews((TARGET,))
            subscribe = Subscribe("e0", "e0:80", "z", 0, True, False)
            messages = [subscribe, news] if is_entry else [news]
            for message in messages:
                service._receive(connection, Frame(message))
            return service._inbox[-1], news

        received, news = asyncio.run(test())
        assert received == (SubscriberReceived(1, news) if is_entry else PeerMessageReceived(news))

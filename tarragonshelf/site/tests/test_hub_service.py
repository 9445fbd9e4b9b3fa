"""A hub whose disk fails, with a real data folder."""

import asyncio
import errno
from unittest import mock

import pytest

from ...catalogue import CatalogueCopy, ReadCatalogue
from ...consensus import LogEntry, SaveEntries
from ...hub import HubBeat, HubRecord
from ...hub.tests.fakes import FakeReader
from ...registry import TargetEntry, TargetState
from ...replication import PeerCallEnded, Refused, RefusedReason
from ...storage import encode_frame
from .._hub import DISK_RETRY_SECONDS, HubService, HubSettings
from .._interfaces import HubRequestHandler
from .._process import read_time

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


class FakeLink:
    """A link to a hub that gives the same reply to each call."""

    def __init__(self, reply):
        self.reply = reply

    async def call(self, message, timeout):
        return self.reply


class TestSubmit:
    # Incident CONFIG: a hub dropped the refusals of others, and the leader that they named.
    def test_leader_that_a_refusal_names_is_asked(self, tmp_path):
        async def test():
            service = create_service(tmp_path)
            service._restore()
            links = {
                "127.0.0.2:7000": FakeLink(Refused(RefusedReason.NOT_LEADER, "127.0.0.3:7000")),
                "127.0.0.3:7000": FakeLink(CatalogueCopy(7)),
            }
            service.node.joins.handle_result(
                0.0,
                PeerCallEnded(
                    "127.0.0.4:7000",
                    service.node.joins.join,
                    Refused(RefusedReason.NOT_LEADER, "127.0.0.2:7000"),
                ),
            )
            with mock.patch.object(service.links, "get", side_effect=links.get):
                return await service.submit(ReadCatalogue())

        assert asyncio.run(test()) == CatalogueCopy(7)


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


# A command of a kind that no build has, in the compact protocol.
NEW_COMMAND = b"\x0c\x88\x0e\x00\x00"


class TestContentOfAnotherBuild:
    def test_unknown_command_in_the_log_keeps_the_process_from_starting(self, tmp_path):
        async def test():
            service = create_service(tmp_path)
            service._restore()
            entry = LogEntry(2, 1, payload=NEW_COMMAND)
            service.disk.save([SaveEntries(2, (entry,))])
            restarted = create_service(tmp_path)
            with mock.patch.object(restarted, "_report") as report, pytest.raises(SystemExit):
                restarted._restore()
            assert report.call_args.args == ("control_refused_to_start",)
            problem = report.call_args.kwargs["problem"]
            assert "log entry 2" in problem
            assert "kind 900" in problem

        asyncio.run(test())

    def test_known_message_that_is_no_command_keeps_the_process_from_starting(self, tmp_path):
        async def test():
            service = create_service(tmp_path)
            service._restore()
            payload = service.links.frames.codec.encode(HubBeat("a", True))
            service.disk.save([SaveEntries(2, (LogEntry(2, 1, payload=payload),))])
            restarted = create_service(tmp_path)
            with mock.patch.object(restarted, "_report") as report, pytest.raises(SystemExit):
                restarted._restore()
            assert "HubBeat" in report.call_args.kwargs["problem"]

        asyncio.run(test())

    def test_committed_unknown_command_is_not_skipped(self, tmp_path):
        async def test():
            service = create_service(tmp_path)
            service._restore()
            await tick_until(service, lambda: service.node.replica.has_committed_in_term)
            applied = service.node.register.state.index
            service.node.replica.propose(read_time(), NEW_COMMAND)
            events = []
            with mock.patch.object(service, "_report", lambda name, **fields: events.append(name)):
                for _ in range(3):
                    service._process_batch(is_tick=True)
            assert "batch_failed" in events
            assert service.node.register.state.index <= applied

        asyncio.run(test())

    def test_saved_message_of_an_unknown_kind_is_reported_and_left_out(self, tmp_path):
        async def test():
            service = create_service(tmp_path)
            service._restore()
            (tmp_path / "targets").write_bytes(encode_frame(NEW_COMMAND))
            restarted = create_service(tmp_path)
            with mock.patch.object(restarted, "_report") as report:
                restarted._restore()
            assert report.call_args.args == ("memory_not_restored",)
            assert report.call_args.kwargs["file"] == "targets"
            assert restarted.node is not None

        asyncio.run(test())

    def test_unknown_messages_of_peers_are_counted_and_logged(self, tmp_path):
        async def test():
            service = create_service(tmp_path)
            fields = {"link": "entry", "peer": "e", "kind": 900, "problem": "new"}
            with mock.patch.object(service.log_budget, "write") as write:
                service.links.frames.report_unknown(**fields)
            write.assert_called_once_with("message_unknown", **fields)
            text = service.metrics.render(["text/plain"])[0].decode()
            assert 'tarragonshelf_messages_unknown{kind="900",link="entry"} 1' in text

        asyncio.run(test())

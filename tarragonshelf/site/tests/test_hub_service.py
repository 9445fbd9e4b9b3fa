"""A hub whose disk fails, with a real data folder."""

import asyncio
import errno
import socket
from pathlib import Path
from typing import ClassVar
from unittest import mock

import pytest

from ...catalogue import (
    CatalogueCopy,
    CatalogueStored,
    PutCatalogue,
    ReadCatalogue,
    compress_content,
)
from ...consensus import LogEntry, SaveEntries
from ...hub import HubBeat, HubRecord, Subscribe, SubscriberReceived
from ...hub.tests.fakes import FakeReader
from ...registry import TargetEntry, TargetNews, TargetState
from ...replication import PeerCallEnded, PeerMessageReceived, Refused, RefusedReason
from ...storage import LocalFileSystem, encode_frame
from ...transport import Frame
from .. import _hub_disk
from .._hub import DISK_RETRY_SECONDS, HubService, HubSettings
from .._interfaces import HubRequestHandler
from .._process import read_time

TARGET = TargetEntry("i-1", 1, 1, TargetState.READY, "127.0.0.1:9", "s", "z", 3)
SECOND_TARGET = TargetEntry("i-2", 1, 1, TargetState.READY, "127.0.0.1:10", "s", "z", 3)


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


class FakeConnection:
    """The hub's end of a connection to an entry."""

    def __init__(self):
        self.messages = []
        self.is_open = True

    def write(self, content: bytes) -> None:
        reader = asyncio.StreamReader()
        reader.feed_data(content)
        reader.feed_eof()
        self.messages.append(reader)

    def close(self) -> None:
        self.is_open = False


async def read_messages(service: HubService, connection: FakeConnection) -> list:
    """Return the messages that the hub has sent on a connection."""
    messages = []
    for reader in connection.messages:
        while (frame := await service.links.frames.read(reader)) is not None:
            messages.append(frame.message)
    connection.messages = []
    return messages


def follow(service: HubService, *, version: int = 0) -> FakeConnection:
    """Return the connection of a new entry that follows the hub."""
    connection = FakeConnection()
    service._receive(connection, Frame(Subscribe("e", "e:80", "z", version, True)))
    return connection


async def start_leader(folder) -> HubService:
    service = create_service(folder)
    service._restore()
    await tick_until(service, lambda: service.node.replica.has_committed_in_term)
    return service


async def put(service: HubService, version: int) -> bool:
    """Store a version and return whether it was acknowledged."""
    content = compress_content(str(version).encode())
    call = asyncio.create_task(service.submit(PutCatalogue(version, content)))
    while not call.done():
        service._process_batch(is_tick=True)
        await asyncio.sleep(0.02)
    return isinstance(call.result(), CatalogueStored)


DISK_FULL = OSError(errno.ENOSPC, "no space")


class TestEntriesOfAFailingDisk:
    """Nothing of a failed batch is sent, so the entries of the hub must not rely on it."""

    # Guards against a target of which the entries of a hub never learn: the hub kept it in memory
    # and had sent it to no entry, so later heartbeats of the target were no news.
    def test_entry_learns_of_a_target_that_was_announced_before(self, tmp_path):
        async def run():
            service = await start_leader(tmp_path)
            connection = follow(service)
            service._process_batch(is_tick=True)
            await read_messages(service, connection)
            # Updates are sent in batches, so the second one still waits.
            assert await service.announce(TARGET) is not None
            assert await service.announce(SECOND_TARGET) is not None
            with mock.patch("os.write", side_effect=DISK_FULL):
                # The targets are due to be saved.
                service.node._saved_at = float("-inf")
                service._process_batch(is_tick=True)
                assert service._disk_failed_at is not None

            def names_target(message) -> bool:
                return isinstance(message, TargetNews) and SECOND_TARGET.identity in {
                    item.identity for item in message.targets
                }

            await self._check_that_entry_learns(service, connection, names_target)

        asyncio.run(run())

    # Guards against an entry that keeps an old catalogue until the next change.
    def test_entry_learns_of_a_catalogue_that_a_failed_batch_committed(self, tmp_path):
        async def run():
            service = await start_leader(tmp_path)
            assert await put(service, 1)
            connection = follow(service, version=1)
            service._process_batch(is_tick=True)
            await read_messages(service, connection)
            with mock.patch.object(
                service.disk._message_files["catalogue"], "save", side_effect=DISK_FULL
            ):
                call = PutCatalogue(2, compress_content(b"2"))
                assert await service._submit_once(call, 0.3) is not None
            await self._check_that_entry_learns(
                service,
                connection,
                lambda message: isinstance(message, CatalogueCopy) and message.version == 2,
                version=1,
            )

        asyncio.run(run())

    async def _check_that_entry_learns(self, service, connection, is_searched, *, version=0):
        """Check that the entry hears it, or is disconnected and hears it when it returns."""
        service._disk_failed_at -= DISK_RETRY_SECONDS
        await tick_until(service, lambda: service.node.replica.has_committed_in_term)
        for _ in range(5):
            service._process_batch(is_tick=True)
        if not connection.is_open:
            connection = follow(service, version=version)
            service._process_batch(is_tick=True)
        assert any(map(is_searched, await read_messages(service, connection)))

    # Guards against entries that count for ever in the shares of budgets and connections.
    def test_entry_that_leaves_while_the_disk_fails_is_forgotten(self, tmp_path):
        async def run():
            service = await start_leader(tmp_path)
            connection = follow(service)
            service._process_batch(is_tick=True)
            assert len(service.node.subscribers.serving) == 1
            service._disk_failed_at = read_time()
            service._remove_subscriber(connection)
            service._process_batch(is_tick=True)
            service._disk_failed_at -= DISK_RETRY_SECONDS
            await tick_until(service, lambda: service.node.replica.has_committed_in_term)
            assert service.node.subscribers.serving == ()

        asyncio.run(run())


class TestStopOnAFailingDisk:
    # Guards against a stop that ends with an error, so that connections and logs stay open.
    def test_leader_whose_disk_is_full_stops(self, tmp_path):
        async def run():
            service = await start_leader(tmp_path)
            with mock.patch.object(service.disk, "save", side_effect=DISK_FULL):
                await service._prepare_stop()
            assert not service.node.replica.is_leader

        asyncio.run(run())

    # Guards against a write to files whose end has not been restored yet.
    def test_nothing_is_written_while_the_disk_fails(self, tmp_path):
        async def run():
            service = await start_leader(tmp_path)
            service._disk_failed_at = read_time()
            with mock.patch.object(service.disk, "save") as save:
                await service._prepare_stop()
            save.assert_not_called()

        asyncio.run(run())


def find_port() -> int:
    """Return a port that is free on loopback."""
    with socket.create_server(("127.0.9.1", 0)) as server:
        return server.getsockname()[1]


class FullFileSystem(LocalFileSystem):
    """A folder on a disk that is full while it is in ``full_folders``; half of a write is done."""

    full_folders: ClassVar[set[str]] = set()

    def append(self, name, content):
        if str(self.folder) in self.full_folders:
            super().append(name, content[: len(content) // 2])
            raise DISK_FULL
        super().append(name, content)


def create_full_file_system(folder: str) -> FullFileSystem:
    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    return FullFileSystem(path)


class TestDisksOneAfterAnother:
    # What another operator saw: long after the last disk had room again, changes were refused.
    def test_every_hub_accepts_changes_afterwards(self, tmp_path):
        async def run():
            port = find_port()
            vms = [f"127.0.9.{number}" for number in (1, 2, 3)]
            services = [create_peer(tmp_path, vm, vms, port) for vm in vms]
            for service in services:
                await service.start()
            await self._put_until_stored(services, 1)
            version, stored = 1, 1
            for _ in services:
                # The leader each time, so that leadership moves with every disk.
                leaders = [item for item in services if item.node.replica.is_leader]
                folder = leaders[0].settings.data_folder
                FullFileSystem.full_folders.add(folder)
                deadline = read_time() + 1.5
                while read_time() < deadline:
                    version += 1
                    if await self._put(services[version % 3], version):
                        stored = version
                    await asyncio.sleep(0.1)
                FullFileSystem.full_folders.discard(folder)
                stored = await self._put_until_stored(services, version + 1)
                version = stored
            for service in services:
                version += 1
                stored = await self._put_until_stored([service], version)
            await asyncio.sleep(1.0)
            assert [item.node.register.state.version for item in services] == [stored] * 3
            assert all(item._is_ready() for item in services)
            for service in services:
                await service.stop()
            # The connections close in the passes of the event loop that follow.
            await asyncio.sleep(0.1)

        with mock.patch.object(_hub_disk, "create_local_file_system", create_full_file_system):
            asyncio.run(run())

    async def _put(self, service: HubService, version: int) -> bool:
        content = compress_content(str(version).encode())
        return isinstance(await service.submit(PutCatalogue(version, content)), CatalogueStored)

    async def _put_until_stored(self, services: list[HubService], version: int) -> int:
        deadline = read_time() + 5.0
        while not await self._put(services[version % len(services)], version):
            assert read_time() < deadline
            version += 1
        return version


def create_peer(folder, vm: str, vms: list[str], port: int) -> HubService:
    """Return one hub of several, each with an address of its own on loopback."""
    settings = HubSettings(
        name=vm,
        record=HubRecord(vm, f"{vm}:{port}", f"{vm}:{port + 1}", "z"),
        regions={"z": "r"},
        seeds=tuple(vms),
        is_first_start=True,
        data_folder=str(folder / vm),
        api_address=f"{vm}:0",
    )
    return HubService(
        settings, reader=FakeReader(), request_handler=UnusedRequestHandler(), secret=b"s" * 16
    )


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

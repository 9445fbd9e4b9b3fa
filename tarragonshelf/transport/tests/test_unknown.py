"""Content that only another build knows: it is reported and dropped, and the connection stays."""

import asyncio
import struct
from asyncio import StreamReader

import pytest
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from ...avoidance import EvidenceItem, EvidenceKind, EvidenceNews
from ...base import FrameError
from ...consensus import AppendRequest, EntryKind, LogEntry, VoteRequest
from ...hub import HubBeat, LoadReport
from ...registry import TargetEntry, TargetNews, TargetState
from ...replication import Done, Join, Refused, RefusedReason
from ...telemetry import Metrics, create_unknown_reporter
from ...utils import HybridClock
from .. import (
    EDGE_PACKAGES,
    Frame,
    FrameCodec,
    PeerLinks,
    PeerServer,
    UnreachableError,
    create_codec,
)
from ..generated import ttypes

SECRET = b"secret"
CODEC = create_codec()
# Number of a kind of message that no build has.
NEW_KIND = 900
BEAT = HubBeat("a", True)
WAIT_SECONDS = 5.0
# Shorter than the time-out of a call, longer than any answer on a busy machine takes.
ANSWER_SECONDS = 5.0
CALL_TIMEOUT_SECONDS = 30.0


def encode_new_kind(*, call: int = 0, is_reply: bool = False, field: int = NEW_KIND) -> bytes:
    """Return a frame of a kind of message that this build does not know."""
    buffer = TMemoryBuffer()
    protocol = TCompactProtocol(buffer)
    protocol.writeStructBegin("Envelope")
    for number, kind, value in ((1, TType.I64, 7), (2, TType.I64, call)):
        protocol.writeFieldBegin("", kind, number)
        protocol.writeI64(value)
        protocol.writeFieldEnd()
    protocol.writeFieldBegin("", TType.BOOL, 3)
    protocol.writeBool(is_reply)
    protocol.writeFieldEnd()
    protocol.writeFieldBegin("", TType.STRUCT, 4)
    protocol.writeStructBegin("Body")
    if field:
        protocol.writeFieldBegin("", TType.STRUCT, field)
        protocol.writeStructBegin("New")
        protocol.writeFieldBegin("", TType.STRING, 3)
        protocol.writeString("content of a later build")
        protocol.writeFieldEnd()
        protocol.writeFieldStop()
        protocol.writeStructEnd()
        protocol.writeFieldEnd()
    protocol.writeFieldStop()
    protocol.writeStructEnd()
    protocol.writeFieldEnd()
    protocol.writeFieldStop()
    protocol.writeStructEnd()
    return add_length(buffer.getvalue())


def encode_body(body: ttypes.Body, *, call: int = 0, is_reply: bool = False) -> bytes:
    """Return a frame of a generated body."""
    envelope = ttypes.Envelope(stamp=7, call=call, is_reply=is_reply, body=body)
    return add_length(CODEC.write_struct(envelope))


def add_length(content: bytes) -> bytes:
    return struct.pack(">I", len(content)) + content


def encode_new_fields() -> bytes:
    """Return the frame of ``BEAT`` with two more fields of a later build."""
    buffer = TMemoryBuffer()
    protocol = TCompactProtocol(buffer)
    protocol.writeStructBegin("Envelope")
    protocol.writeFieldBegin("", TType.STRUCT, 4)
    protocol.writeStructBegin("Body")
    protocol.writeFieldBegin("", TType.STRUCT, 86)
    protocol.writeStructBegin("HubBeat")
    protocol.writeFieldBegin("", TType.STRING, 1)
    protocol.writeString("a")
    protocol.writeFieldEnd()
    protocol.writeFieldBegin("", TType.BOOL, 2)
    protocol.writeBool(True)
    protocol.writeFieldEnd()
    protocol.writeFieldBegin("", TType.I64, 70)
    protocol.writeI64(5)
    protocol.writeFieldEnd()
    protocol.writeFieldBegin("", TType.LIST, 71)
    protocol.writeListBegin(TType.STRING, 1)
    protocol.writeString("new")
    protocol.writeListEnd()
    protocol.writeFieldEnd()
    protocol.writeFieldStop()
    for _ in range(2):
        protocol.writeStructEnd()
        protocol.writeFieldEnd()
        protocol.writeFieldStop()
    protocol.writeStructEnd()
    return add_length(buffer.getvalue())


def create_evidence(*kinds: str) -> ttypes.Body:
    items = [ttypes.EvidenceItem(target=f"t{kind}", kind=kind) for kind in kinds]
    return ttypes.Body(evidenceNews=ttypes.EvidenceNews(items=items))


async def read_frame(content: bytes) -> Frame | None:
    reader = StreamReader()
    reader.feed_data(content)
    reader.feed_eof()
    return await FrameCodec(CODEC).read(reader)


class Peers:
    """A server and a link to it, each of which records what it receives and reports.

    The server answers ``VoteRequest`` calls with frames of ``answer`` and others with ``Done``.
    """

    def __init__(self, *, packages: tuple[str, ...] | None = None):
        self.received = []
        self.pushed = []
        self.events = []
        self.unknown = []
        self.answer = None
        self.connections = []
        clock = HybridClock(lambda: 1.0)
        codec = create_codec(packages) if packages else create_codec()
        self.links = PeerLinks(
            vm="a",
            role="control",
            secret=SECRET,
            clock=clock,
            codec=codec,
            handler=lambda _, frame: self.pushed.append(frame.message),
            report_unknown=lambda **fields: self.unknown.append(fields),
        )
        self.server = PeerServer(
            vm="b",
            secret=SECRET,
            frames=self.links.frames,
            clock=clock,
            handler=self._receive,
            report=lambda event, **fields: self.events.append(event),
        )

    def _receive(self, connection, frame: Frame) -> None:
        if connection not in self.connections:
            self.connections.append(connection)
        self.received.append(frame.message)
        if frame.call and self.answer is not None:
            connection.write(self.answer(frame.call))
        elif frame.call:
            connection.send(Done(), call=frame.call, is_reply=True)

    async def __aenter__(self):
        port = await self.server.start("127.0.0.1", 0)
        self.link = self.links.get(f"127.0.0.1:{port}")
        self.link.post(BEAT)
        await self.wait_for(lambda: self.received)
        return self

    async def __aexit__(self, *problem):
        self.links.close()
        await self.server.stop()
        await asyncio.sleep(0.05)

    async def wait_for(self, condition) -> None:
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():
                await asyncio.sleep(0.005)


async def send_and_check(content: bytes, *, packages: tuple[str, ...] | None = None) -> Peers:
    """Send content and then a heartbeat; check that both came on the same connection."""
    async with Peers(packages=packages) as peers:
        connection = peers.link.connection
        connection.write(content)
        peers.link.post(BEAT)
        await peers.wait_for(lambda: peers.received.count(BEAT) == 2)
        assert peers.link.connection is connection
        assert len(peers.connections) == 1
        return peers


class TestUnknownKind:
    def test_one_way_message_is_dropped_and_reported(self):
        peers = asyncio.run(send_and_check(encode_new_kind()))
        assert peers.received == [BEAT, BEAT]
        (unknown,) = peers.unknown
        assert (unknown["link"], unknown["peer"]) == ("control", "a")
        assert unknown["kind"] == NEW_KIND

    def test_kind_of_another_role_is_dropped_and_reported(self):
        """An entry loads only its own messages; for it the others are unknown."""
        body = CODEC.to_body(VoteRequest(1, "a", 1, 1))
        peers = asyncio.run(send_and_check(encode_body(body), packages=EDGE_PACKAGES))
        assert [unknown["kind"] for unknown in peers.unknown] == [get_kind("voteRequest")]

    @pytest.mark.parametrize("packages", [None, EDGE_PACKAGES])
    def test_call_is_refused_at_once(self, packages):
        async def call() -> Frame:
            async with Peers(packages=packages) as peers:
                connection = peers.link.connection
                replies = []
                connection._complete_call = replies.append
                connection.write(encode_new_kind(call=41))
                await peers.wait_for(lambda: replies)
                assert peers.link.connection is connection
                return replies[0]

        reply = asyncio.run(call())
        assert (reply.call, reply.is_reply) == (41, True)
        if packages is None:
            assert reply.message.reason == RefusedReason.UNKNOWN_NAME
            assert str(NEW_KIND) in reply.message.detail

    @pytest.mark.parametrize(
        "answer",
        [
            lambda call: encode_new_kind(call=call, is_reply=True),
            lambda call: encode_body(
                ttypes.Body(refused=ttypes.Refused(reason="new-reason")), call=call, is_reply=True
            ),
        ],
    )
    def test_unknown_reply_fails_its_call_at_once(self, answer):
        async def call() -> Peers:
            async with Peers() as peers:
                peers.answer = answer
                connection = peers.link.connection
                with pytest.raises(UnreachableError, match="does not know"):
                    async with asyncio.timeout(ANSWER_SECONDS):
                        await peers.link.call(Join("a", "a", "a"), CALL_TIMEOUT_SECONDS)
                assert peers.link.connection is connection
                peers.answer = None
                reply = await peers.link.call(Join("a", "a", "a"), CALL_TIMEOUT_SECONDS)
                assert reply == Done()
                return peers

        peers = asyncio.run(call())
        assert len(peers.unknown) == 1

    def test_unknown_reply_to_a_call_that_timed_out_is_dropped(self):
        async def push() -> Peers:
            async with Peers() as peers:
                peers.connections[0].write(encode_new_kind(call=977, is_reply=True))
                peers.connections[0].send(BEAT)
                await peers.wait_for(lambda: peers.pushed)
                return peers

        assert len(asyncio.run(push()).unknown) == 1

    def test_message_to_the_connecting_side_is_dropped_and_reported(self):
        async def push() -> Peers:
            async with Peers() as peers:
                connection = peers.link.connection
                peers.connections[0].write(encode_new_kind())
                peers.connections[0].send(BEAT)
                await peers.wait_for(lambda: peers.pushed)
                assert peers.link.connection is connection
                return peers

        peers = asyncio.run(push())
        assert peers.pushed == [BEAT]
        assert [(item["link"], item["peer"]) for item in peers.unknown] == [("outgoing", "b")]

    def test_handshake_of_an_unknown_kind_is_refused(self):
        async def connect() -> Peers:
            async with Peers() as peers:
                host, _, port = peers.link.address.rpartition(":")
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(encode_new_kind())
                await peers.wait_for(lambda: peers.events)
                writer.close()
                return peers

        assert asyncio.run(connect()).events == ["peer_refused"]


class TestUnknownValue:
    def test_unknown_evidence_drops_only_that_item(self):
        peers = asyncio.run(send_and_check(encode_body(create_evidence("b", "zz", "e"))))
        assert peers.received[1] == EvidenceNews(
            (EvidenceItem("tb", EvidenceKind.BROKEN), EvidenceItem("te", EvidenceKind.ERROR))
        )
        (unknown,) = peers.unknown
        assert unknown["kind"] == get_kind("evidenceNews")
        assert "zz" in unknown["problem"]

    def test_reports_are_not_carried_over_to_the_next_message(self):
        news, known = create_evidence("zz"), create_evidence("b")
        content = encode_body(news) + encode_body(known)
        assert len(asyncio.run(send_and_check(content)).unknown) == 1

    def test_unknown_state_drops_all_targets_of_a_message(self):
        """The receiver confirms a message as a whole, so it may not leave a target out."""
        entry = TargetEntry("t", 1, 1, TargetState.READY, "10.0.0.1:80")
        body = CODEC.to_body(TargetNews((entry, entry), number=3, sender="a"))
        body.targetNews.targets[1].state = "hibernating"
        peers = asyncio.run(send_and_check(encode_body(body)))
        assert peers.received == [BEAT, BEAT]
        assert "hibernating" in peers.unknown[0]["problem"]

    def test_unknown_entry_drops_the_whole_append_request(self):
        """A log entry must never be left out of the log."""
        entries = (LogEntry(1, 1), LogEntry(2, 1), LogEntry(3, 1, EntryKind.BARRIER))
        body = CODEC.to_body(AppendRequest(1, "a", 0, 0, entries))
        body.appendRequest.entries[1].kind = "new-kind"
        peers = asyncio.run(send_and_check(encode_body(body)))
        assert peers.received == [BEAT, BEAT]
        assert len(peers.unknown) == 1


class TestFields:
    def test_unknown_fields_are_ignored(self):
        frame = asyncio.run(read_frame(encode_new_fields()))
        assert frame.message == BEAT
        assert not frame.unknown

    def test_missing_optional_field_takes_its_default(self):
        body = ttypes.Body(hubBeat=ttypes.HubBeat(vm="a", is_current=True))
        assert asyncio.run(read_frame(encode_body(body))).message == HubBeat("a", True, edges=0)

    def test_message_without_a_required_field_is_dropped_and_reported(self):
        body = ttypes.Body(hubBeat=ttypes.HubBeat(vm="a"))
        peers = asyncio.run(send_and_check(encode_body(body)))
        assert peers.received == [BEAT, BEAT]
        assert "is_current" in peers.unknown[0]["problem"]

    def test_list_that_was_required_is_dropped_and_reported(self):
        body = ttypes.Body(loadReport=ttypes.LoadReport())
        peers = asyncio.run(send_and_check(encode_body(body)))
        assert LoadReport(()) not in peers.received
        assert len(peers.unknown) == 1


class TestMalformed:
    @pytest.mark.parametrize(
        "content",
        [
            add_length(b"\xff\xff\xff\xff not thrift"),
            add_length(encode_new_kind()[4:-9]),
            add_length(b"\x00"),
            encode_new_kind(field=0),
            struct.pack(">I", 17 << 20),
        ],
        ids=["no-thrift", "truncated", "no-body", "empty-body", "too-long"],
    )
    def test_malformed_bytes_close_the_connection(self, content):
        async def send() -> Peers:
            async with Peers() as peers:
                connection = peers.link.connection
                connection.write(content)
                await peers.wait_for(lambda: not connection.is_open)
                return peers

        peers = asyncio.run(send())
        assert peers.events == ["peer_frame_malformed"]
        assert not peers.unknown

    def test_decoding_unknown_content_for_the_disk_raises(self):
        body = CODEC.to_body(AppendRequest(1, "a", 0, 0, (LogEntry(1, 1),)))
        body.appendRequest.entries[0].kind = "new-kind"
        with pytest.raises(FrameError, match="new-kind"):
            CODEC.decode(CODEC.write_struct(body))

    def test_decoding_for_the_disk_leaves_no_item_out(self):
        with pytest.raises(FrameError, match="zz"):
            CODEC.decode(CODEC.write_struct(create_evidence("b", "zz")))


class TestRefusal:
    def test_refusal_of_the_transport_is_a_message_of_replication(self):
        content = FrameCodec(create_codec(EDGE_PACKAGES)).encode_refusal(5, NEW_KIND, stamp=9)
        frame = asyncio.run(read_frame(content))
        assert (frame.call, frame.is_reply, frame.stamp) == (5, True, 9)
        assert isinstance(frame.message, Refused)
        assert frame.message.reason == RefusedReason.UNKNOWN_NAME


class TestReporter:
    def test_each_unknown_message_is_counted_and_logged(self):
        metrics, lines = Metrics(), []
        report = create_unknown_reporter(
            metrics, lambda event, **fields: lines.append((event, fields))
        )
        fields = {"link": "entry", "peer": "e", "kind": NEW_KIND, "problem": "new"}
        report(**fields)
        report(**fields)
        assert lines == [("message_unknown", fields)] * 2
        text = metrics.render(["text/plain"])[0].decode()
        assert 'tarragonshelf_messages_unknown{kind="900",link="entry"} 2' in text


def get_kind(name: str) -> int:
    """Return the number of a field of ``Body``."""
    return next(spec[0] for spec in ttypes.Body.thrift_spec if spec and spec[2] == name)

"""One batch: each message encoded once, each connection written to once."""

from ...registry import TargetEntry, TargetNews, TargetState
from ...utils import HybridClock
from .. import FrameCodec, MessageBatcher, PeerLinks, create_codec


class FakeConnection:
    """Notes what is written."""

    def __init__(self):
        self.written: list[bytes] = []

    def write(self, content: bytes) -> None:
        self.written.append(content)


class CountingCodec(FrameCodec):
    """Counts what it encodes."""

    def __init__(self):
        super().__init__(create_codec())
        self.count = 0

    def write(self, frame) -> bytes:
        self.count += 1
        return super().write(frame)


def create_news(count: int) -> TargetNews:
    entry = TargetEntry("i-1", 1, 1, TargetState.READY, "10.0.0.1:80", "s", "z")
    return TargetNews((entry,) * count)


class TestParcels:
    def test_a_message_for_many_is_encoded_once_and_written_once_to_each(self):
        frames = CountingCodec()
        batcher = MessageBatcher(frames, HybridClock(lambda: 1.0))
        connections = [FakeConnection() for _ in range(20)]
        news = [create_news(1) for _ in range(3)]
        for connection in connections:
            for message in news:
                batcher.add(connection, message)
        batcher.send()
        assert frames.count == 3
        assert all(len(connection.written) == 1 for connection in connections)
        assert len({connection.written[0] for connection in connections}) == 1

    def test_a_large_message_stays_encoded_for_the_next_batch(self):
        """All entries ask for all targets within a second after a restart of all."""
        frames = CountingCodec()
        batcher = MessageBatcher(frames, HybridClock(lambda: 1.0))
        news = create_news(400)
        for _ in range(20):
            batcher.add(FakeConnection(), news)
            batcher.send()
        assert frames.count == 1

    def test_what_is_for_a_link_that_is_being_made_waits_there(self):
        posted = []
        links = PeerLinks(vm="a", role="control", secret=b"s", clock=HybridClock(lambda: 1.0))
        link = links.get("127.0.0.1:1")
        link.post = posted.append
        batcher = MessageBatcher(links.frames, links.clock)
        batcher.add(link, create_news(1))
        batcher.send()
        assert posted == [create_news(1)]

    def test_few_large_messages_are_kept(self):
        frames = CountingCodec()
        batcher = MessageBatcher(frames, HybridClock(lambda: 1.0))
        news = [create_news(400) for _ in range(6)]
        for message in (*news, *news[2:]):
            batcher.add(FakeConnection(), message)
            batcher.send()
        assert frames.count == 6

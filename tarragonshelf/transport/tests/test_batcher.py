"""Batches of messages: encoding once, writing once per connection, caching."""

from ...registry import TargetEntry, TargetNews, TargetState
from ...utils import HybridClock
from .. import FrameCodec, MessageBatcher, PeerLinks, create_codec


class FakeConnection:
    """Records what is written."""

    def __init__(self):
        self.written: list[bytes] = []

    def write(self, content: bytes) -> None:
        self.written.append(content)


class CountingCodec(FrameCodec):
    """Counts the frames that it encodes."""

    def __init__(self):
        super().__init__(create_codec())
        self.count = 0

    def encode(self, frame) -> bytes:
        self.count += 1
        return super().encode(frame)


def create_news(count: int) -> TargetNews:
    entry = TargetEntry("i-1", 1, 1, TargetState.READY, "10.0.0.1:80", "s", "z")
    return TargetNews((entry,) * count)


class TestMessageBatcher:
    def test_a_shared_message_is_encoded_once_and_each_connection_written_to_once(self):
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

    def test_a_large_message_is_cached_for_the_next_batch(self):
        """After a restart of the whole fleet all entries request all targets within a second."""
        frames = CountingCodec()
        batcher = MessageBatcher(frames, HybridClock(lambda: 1.0))
        news = create_news(400)
        for _ in range(20):
            batcher.add(FakeConnection(), news)
            batcher.send()
        assert frames.count == 1

    def test_messages_for_a_link_that_is_not_connected_are_posted_to_it(self):
        posted = []
        links = PeerLinks(vm="a", role="control", secret=b"s", clock=HybridClock(lambda: 1.0))
        link = links.get("127.0.0.1:1")
        link.post = posted.append
        batcher = MessageBatcher(links.frames, links.clock)
        batcher.add(link, create_news(1))
        batcher.send()
        assert posted == [create_news(1)]

    def test_the_most_recent_large_messages_stay_cached(self):
        frames = CountingCodec()
        batcher = MessageBatcher(frames, HybridClock(lambda: 1.0))
        news = [create_news(400) for _ in range(6)]
        for message in (*news, *news[2:]):
            batcher.add(FakeConnection(), message)
            batcher.send()
        assert frames.count == 6

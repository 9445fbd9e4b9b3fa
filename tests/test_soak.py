"""The soak's own checks notice broken promises, and a short seeded run of it keeps them all."""

import asyncio
from pathlib import Path
from random import Random

import pytest

from soak.__main__ import run_seed
from soak._faults import KINDS, draw_faults
from soak._proxy import Manner, Proxy
from soak._record import Record, Run, Sent

SEEDS = Path(__file__).parents[1] / "soak" / "seeds.txt"
CI_SEED, CI_SECONDS = 7, 6.0


def create_record(*, is_safe: bool = False) -> Record:
    record = Record()
    record.sent["q"] = Sent("q", is_safe, "e", 10.0, b"order")
    return record


def run(record: Record, *, target: str = "t", at: float = 10.1, body: bytes = b"order") -> None:
    record.note_run(at, "q", Run(target, at, f"stamp of {target}"), body)


def list_promises(record: Record) -> list[str]:
    return [text.partition(":")[0] for text in record.broken]


def read_seeds() -> list[tuple[int, float]]:
    lines = [line for line in SEEDS.read_text().splitlines() if line and line[0] != "#"]
    return [(int(line.split()[0]), float(line.split()[1])) for line in lines]


class TestRecord:
    def test_an_order_that_runs_twice(self):
        record = create_record()
        run(record)
        run(record, target="u")
        assert list_promises(record) == ["twice"]

    def test_a_lookup_may_run_twice(self):
        record = create_record(is_safe=True)
        run(record)
        run(record, target="u")
        assert not record.broken

    @pytest.mark.parametrize("runs_first", [True, False])
    def test_a_refused_order_that_runs(self, runs_first):
        record = create_record()
        if runs_first:
            run(record)
        record.note_answer(10.5, record.sent["q"], 503, "", b"")
        if not runs_first:
            run(record)
        assert list_promises(record) == ["refused"]

    def test_an_answer_of_another_request(self):
        record = create_record()
        run(record)
        record.note_answer(10.5, record.sent["q"], 200, "stamp of t", b"r")
        assert list_promises(record) == ["mixed"]

    def test_a_success_that_no_target_gave(self):
        record = create_record()
        record.note_answer(10.5, record.sent["q"], 200, "stamp of t", b"q")
        assert list_promises(record) == ["mixed"]

    def test_a_changed_order(self):
        record = create_record()
        run(record, body=b"other")
        assert list_promises(record) == ["unasked"]

    def test_a_target_that_left(self):
        record = create_record()
        record.left_at["t"] = 7.4
        run(record)
        assert list_promises(record) == ["drain"]

    def test_a_target_that_is_about_to_leave(self):
        record = create_record()
        record.left_at["t"] = 7.6
        run(record)
        assert not record.broken

    def test_an_older_document(self):
        record = Record()
        record.acknowledged += [(1.0, 3), (2.0, 5)]
        record.note_read(4.0, 3, b"")
        assert not record.broken
        record.note_read(4.6, 3, b"")
        assert list_promises(record) == ["config"]

    def test_other_content_under_a_version(self):
        record = Record()
        record.documents[3] = b"three"
        record.note_read(4.0, 3, b"other")
        assert list_promises(record) == ["config"]


class TestFaults:
    def test_a_seed_draws_the_same_faults_again(self):
        assert draw_faults(Random(5), 20.0) == draw_faults(Random(5), 20.0)

    def test_every_kind_comes_up(self):
        drawn = {fault.kind for seed in range(50) for fault in draw_faults(Random(seed), 20.0)}
        assert drawn == set(KINDS)


class TestProxy:
    @pytest.mark.parametrize(
        ("manner", "expected"),
        [
            (Manner.PASS, (b"ask", b"answer")),
            (Manner.DELAY, (b"ask", b"answer")),
            (Manner.LOSE_THERE, (b"", b"answer")),
            (Manner.LOSE_BACK, (b"ask", b"")),
            (Manner.SILENCE, (b"", b"")),
        ],
    )
    def test_each_manner(self, manner, expected):
        assert asyncio.run(exchange(manner)) == expected


async def exchange(manner: Manner) -> tuple[bytes, bytes]:
    """Return what arrived there and back through a forwarder."""
    heard = []

    async def serve(reader, writer):
        writer.write(b"answer")
        heard.append(await reader.read(100))

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    proxy = Proxy("127.0.0.1:0", f"127.0.0.1:{port}")
    proxy.manner = manner
    await proxy.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    writer.write(b"ask")
    back = b""
    if manner not in (Manner.LOSE_BACK, Manner.SILENCE):
        back = await reader.read(100)
    await asyncio.sleep(0.1)
    proxy.stop()
    server.close()
    await asyncio.sleep(0.1)
    return (b"".join(heard), back)


@pytest.mark.process
class TestSoak:
    def test_a_short_run_keeps_every_promise(self, tmp_path):
        assert run_seed(CI_SEED, CI_SECONDS, folder=str(tmp_path))["broken"] == []

    def test_seeds_that_once_failed(self, tmp_path):
        for seed, seconds in read_seeds():
            assert run_seed(seed, seconds, folder=str(tmp_path / str(seed)))["broken"] == []

"""Chunked messages that are mostly framing."""

import pytest

from .. import LARGE_READ_BYTES, SMALL_READ_BYTES, choose_read_size, exceeds_framing_allowance


class TestFraming:
    @pytest.mark.parametrize("chunk", [16, 1000, 1 << 16])
    def test_usual_chunks_are_allowed_in_a_body_of_any_size(self, chunk):
        for chunks in (1, 1000, (64 << 20) // chunk):
            framing = chunks * (len(f"{chunk:x}") + 4)
            assert not exceeds_framing_allowance(chunks * chunk + framing, chunks * chunk)

    def test_one_byte_chunks_end_early(self):
        """Guards against 64 MiB in one-byte chunks, which take minutes to parse."""
        assert not exceeds_framing_allowance(6 * 20_000, 20_000)
        assert exceeds_framing_allowance(6 * 40_000, 40_000)

    def test_a_chunk_extension_without_end_is_refused(self):
        assert exceeds_framing_allowance(200 << 10, 0)

    def test_little_is_read_of_a_message_that_is_mostly_framing(self):
        assert choose_read_size(4096, 4096 // 6) == SMALL_READ_BYTES
        assert choose_read_size(4096, 4000) == LARGE_READ_BYTES
        assert choose_read_size(4096, 0) == SMALL_READ_BYTES

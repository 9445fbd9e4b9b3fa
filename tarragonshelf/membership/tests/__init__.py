"""Tests of ``tarragonshelf.membership``."""

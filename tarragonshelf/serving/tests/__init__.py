"""Tests of ``tarragonshelf.serving``."""

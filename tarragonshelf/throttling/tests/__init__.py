"""Tests of ``tarragonshelf.throttling``."""

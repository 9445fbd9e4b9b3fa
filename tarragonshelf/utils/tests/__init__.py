"""Tests of ``tarragonshelf.utils``."""

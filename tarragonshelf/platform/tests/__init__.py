"""Tests of ``tarragonshelf.platform``."""

"""Tests of ``tarragonshelf.entry``."""

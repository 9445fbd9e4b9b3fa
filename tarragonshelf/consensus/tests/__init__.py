"""Tests of ``tarragonshelf.consensus``."""

"""Tests of ``tarragonshelf.storage``."""

"""Tests of ``tarragonshelf.settings``."""

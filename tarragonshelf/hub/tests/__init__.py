"""Tests of ``tarragonshelf.hub``."""

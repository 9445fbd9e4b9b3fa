"""Tests of ``tarragonshelf.relaying``."""

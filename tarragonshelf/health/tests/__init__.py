"""Tests of ``tarragonshelf.health``."""

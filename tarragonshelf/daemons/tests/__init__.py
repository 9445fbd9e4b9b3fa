"""Tests of ``tarragonshelf.daemons``."""

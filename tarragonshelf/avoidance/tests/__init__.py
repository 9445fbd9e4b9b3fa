"""Tests of ``tarragonshelf.avoidance``."""

"""Tests of ``tarragonshelf.control``."""

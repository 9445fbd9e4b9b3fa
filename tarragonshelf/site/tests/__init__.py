"""Tests of ``tarragonshelf.site``."""

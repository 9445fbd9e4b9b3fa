"""Tests of ``tarragonshelf.execution``."""

"""Tests of ``tarragonshelf.edge``."""

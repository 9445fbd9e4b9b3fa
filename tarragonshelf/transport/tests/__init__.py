"""Tests of ``tarragonshelf.transport``."""

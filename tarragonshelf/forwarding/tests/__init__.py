"""Tests of ``tarragonshelf.forwarding``."""

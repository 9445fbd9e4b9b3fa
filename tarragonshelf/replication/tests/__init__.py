"""Tests of ``tarragonshelf.replication``."""

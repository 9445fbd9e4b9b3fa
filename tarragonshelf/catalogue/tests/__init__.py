"""Tests of ``tarragonshelf.catalogue``."""

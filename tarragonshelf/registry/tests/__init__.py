"""Tests of ``tarragonshelf.registry``."""

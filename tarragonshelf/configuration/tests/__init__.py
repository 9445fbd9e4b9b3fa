"""Tests of ``tarragonshelf.configuration``."""

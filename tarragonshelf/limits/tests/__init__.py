"""Tests of ``tarragonshelf.limits``."""

"""Tests of ``tarragonshelf.routing``."""

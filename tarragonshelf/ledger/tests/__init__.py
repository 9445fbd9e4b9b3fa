"""Tests of ``tarragonshelf.ledger``."""

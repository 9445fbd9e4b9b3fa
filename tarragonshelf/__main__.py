"""Runs the command line with ``python -m tarragonshelf``."""

from .cli import main

main()

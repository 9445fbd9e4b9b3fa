"""Lets the command line run as ``python -m tarragonshelf``."""

from .cli import main

main()

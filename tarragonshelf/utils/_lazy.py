"""Modules that are imported when they are first used."""

from importlib import import_module
from typing import Any


class LazyModule:
    """Stands for a module until one of its names is asked for.

    Parameters
    ----------
    name : str
        The module's name.
    """

    def __init__(self, name: str):
        self._name = name

    def __getattr__(self, attribute: str) -> Any:
        return getattr(import_module(self._name), attribute)

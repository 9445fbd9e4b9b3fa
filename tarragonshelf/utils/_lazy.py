"""Modules that are imported when they are first used."""

import sys
from collections.abc import Callable
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


def create_lazy_getattr(
    package: str, modules: dict[str, tuple[str, ...]]
) -> Callable[[str], object]:
    """Return a module's ``__getattr__`` that loads each public name on its first use.

    Parameters
    ----------
    package : str
        The package that offers the names.
    modules : dict of str to tuple of str
        Its private modules, and the names that each of them defines.
    """
    places = {name: module for module, names in modules.items() for name in names}

    def load(name: str) -> object:
        if name not in places:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(import_module(f".{places[name]}", package), name)
        setattr(sys.modules[package], name, value)
        return value

    return load

"""Lazy imports."""

import sys
from collections.abc import Callable
from importlib import import_module
from typing import Any


class LazyModule:
    """A proxy for a module, which is imported when one of its attributes is first accessed.

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
    """Return a ``__getattr__`` for a package that imports each public name on first access.

    Parameters
    ----------
    package : str
        The package.
    modules : dict of str to tuple of str
        The private modules of the package, with the public names that each of them defines.
    """
    modules_by_name = {name: module for module, names in modules.items() for name in names}

    def load(name: str) -> object:
        if name not in modules_by_name:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(import_module(f".{modules_by_name[name]}", package), name)
        setattr(sys.modules[package], name, value)
        return value

    return load

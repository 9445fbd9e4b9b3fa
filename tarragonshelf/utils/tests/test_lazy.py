"""Packages that load their names on first use."""

import subprocess
import sys
from importlib import import_module

import pytest

PACKAGES = ("tarragonshelf.hub", "tarragonshelf.replication", "tarragonshelf.site")
# What an entry's process must not load: it would be back later after a restart.
FOREIGN = ("tarragonshelf.consensus", "tarragonshelf.storage", "tarragonshelf.hub._node")


class TestLoader:
    @pytest.mark.parametrize("package", PACKAGES)
    def test_every_public_name_is_there(self, package):
        module = import_module(package)
        assert all(getattr(module, name) is not None for name in module.__all__)

    @pytest.mark.parametrize("package", PACKAGES)
    def test_an_unknown_name_is_an_error_of_the_module(self, package):
        with pytest.raises(AttributeError, match="no attribute 'Unknown'"):
            _ = import_module(package).Unknown

    def test_an_entry_loads_nothing_of_a_controls(self):
        listing = f"[name for name in {FOREIGN!r} if name in sys.modules]"
        code = f"import sys, tarragonshelf.platform._entry; print({listing})"
        found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
        assert found.stdout.strip() == "[]", found.stderr

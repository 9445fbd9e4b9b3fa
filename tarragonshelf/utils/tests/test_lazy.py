"""Packages that import their public names lazily."""

import subprocess
import sys
from importlib import import_module

import pytest

PACKAGES = ("tarragonshelf.hub", "tarragonshelf.replication", "tarragonshelf.site")
# Modules that an entry process must not import, as that would delay its restart.
FOREIGN_MODULES = ("tarragonshelf.consensus", "tarragonshelf.storage", "tarragonshelf.hub._node")


class TestLazyGetattr:
    @pytest.mark.parametrize("package", PACKAGES)
    def test_every_public_name_is_importable(self, package):
        module = import_module(package)
        assert all(getattr(module, name) is not None for name in module.__all__)

    @pytest.mark.parametrize("package", PACKAGES)
    def test_an_unknown_name_raises_attribute_error(self, package):
        with pytest.raises(AttributeError, match="no attribute 'Unknown'"):
            _ = import_module(package).Unknown

    def test_an_entry_process_imports_no_module_of_controls(self):
        listing = f"[name for name in {FOREIGN_MODULES!r} if name in sys.modules]"
        code = f"import sys, tarragonshelf.platform._entry; print({listing})"
        found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
        assert found.stdout.strip() == "[]", found.stderr

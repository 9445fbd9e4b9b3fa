"""Decision packages import no clock, no socket and no event loop."""

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "tarragonshelf"
DECISIONS = (
    "avoidance",
    "catalogue",
    "configuration",
    "consensus",
    "control",
    "edge",
    "entry",
    "execution",
    "forwarding",
    "health",
    "hub",
    "ledger",
    "limits",
    "membership",
    "registry",
    "replication",
    "routing",
)
# What the platform calls things; only the package that translates may know it.
PLATFORM_WORDS = (
    "Deadline-Ms",
    "Expect-Instance",
    "Not-Executed",
    "Request-Id",
    "Response-Stamp",
    "back end",
    "backend",
    "beat_addr",
    "born",
    "path_prefix",
    "target_latency",
    "tenant",
    "traffic_split",
    "warmup_left",
)
FORBIDDEN = ("asyncio", "aiohttp", "mode", "socket", "time", "selectors")
# The house's library for errors loads asyncio itself, so it is loaded first and asyncio forgotten.
CHECK = """
import importlib, sys
import expression, pydantic.dataclasses
for name in [name for name in sys.modules if name.split(".")[0] == "asyncio"]:
    del sys.modules[name]
importlib.import_module("tarragonshelf.{package}")
print(",".join(name for name in ("asyncio", "aiohttp", "mode") if name in sys.modules))
"""


class TestDecisionPackages:
    @pytest.mark.parametrize("package", DECISIONS)
    def test_imports_pull_in_no_event_loop(self, package):
        done = subprocess.run(
            [sys.executable, "-c", CHECK.format(package=package)],
            capture_output=True,
            text=True,
            check=True,
        )
        assert done.stdout.strip() == ""

    @pytest.mark.parametrize("package", DECISIONS)
    def test_modules_import_no_clock_and_no_socket(self, package):
        for path in (ROOT / package).glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                names = []
                if isinstance(node, ast.Import):
                    names = [item.name for item in node.names]
                elif isinstance(node, ast.ImportFrom) and node.level == 0:
                    names = [node.module]
                found = [name for name in names if name.split(".")[0] in FORBIDDEN]
                assert not found, f"{path.name} imports {found}"


class TestPlatformWords:
    def test_only_the_adapter_knows_them(self):
        found = []
        for path in ROOT.rglob("*.py"):
            place = path.relative_to(ROOT)
            is_exempt = place.parts[0] == "platform" or "tests" in place.parts
            if is_exempt or "generated" in place.parts:
                continue
            text = path.read_text().lower()
            found += (f"{place}: {word}" for word in PLATFORM_WORDS if word.lower() in text)
        assert found == []

    def test_the_adapter_decides_nothing(self):
        for path in (ROOT / "platform").glob("*.py"):
            names = [
                node.module or ""
                for node in ast.walk(ast.parse(path.read_text()))
                if isinstance(node, ast.ImportFrom)
            ]
            assert not {"consensus", "avoidance", "storage", "transport"} & set(names)

"""Decision packages import no clock, socket or event loop; one package uses platform terms."""

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "tarragonshelf"
DECISION_PACKAGES = (
    "admission",
    "allowances",
    "avoidance",
    "buffering",
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
    "relaying",
    "replication",
    "routing",
    "throttling",
)
# Terms of the outer platform; only the adapter package ``platform`` translates them.
PLATFORM_TERMS = (
    "Deadline-Ms",
    "Expect-Instance",
    "Not-Executed",
    "Request-Id",
    "Response-Stamp",
    "Server-Leaving",
    "Server-Limit",
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
FORBIDDEN_MODULES = ("asyncio", "aiohttp", "mode", "socket", "time", "selectors")
# The result library ``expression`` imports asyncio itself. It is imported first, and asyncio is
# then removed from the loaded modules, so that the check sees only what the package imports.
IMPORT_CHECK = """
import importlib, sys
import expression, pydantic.dataclasses
for name in [name for name in sys.modules if name.split(".")[0] == "asyncio"]:
    del sys.modules[name]
importlib.import_module("tarragonshelf.{package}")
print(",".join(name for name in ("asyncio", "aiohttp", "mode") if name in sys.modules))
"""


class TestDecisionPackages:
    @pytest.mark.parametrize("package", DECISION_PACKAGES)
    def test_import_loads_no_event_loop(self, package):
        completed = subprocess.run(
            [sys.executable, "-c", IMPORT_CHECK.format(package=package)],
            capture_output=True,
            text=True,
            check=True,
        )
        assert completed.stdout.strip() == ""

    @pytest.mark.parametrize("package", DECISION_PACKAGES)
    def test_modules_import_no_clock_and_no_socket(self, package):
        for path in (ROOT / package).glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                names = []
                if isinstance(node, ast.Import):
                    names = [item.name for item in node.names]
                elif isinstance(node, ast.ImportFrom) and node.level == 0:
                    names = [node.module]
                violations = [name for name in names if name.split(".")[0] in FORBIDDEN_MODULES]
                assert not violations, f"{path.name} imports {violations}"


class TestPlatformTerms:
    def test_only_the_adapter_uses_them(self):
        violations = []
        for path in ROOT.rglob("*.py"):
            relative_path = path.relative_to(ROOT)
            is_exempt = relative_path.parts[0] == "platform" or "tests" in relative_path.parts
            if is_exempt or "generated" in relative_path.parts:
                continue
            text = path.read_text().lower()
            violations += (
                f"{relative_path}: {term}" for term in PLATFORM_TERMS if term.lower() in text
            )
        assert violations == []

    def test_adapter_imports_no_consensus_avoidance_storage_or_transport(self):
        for path in (ROOT / "platform").glob("*.py"):
            names = [
                node.module or ""
                for node in ast.walk(ast.parse(path.read_text()))
                if isinstance(node, ast.ImportFrom)
            ]
            assert not {"consensus", "avoidance", "storage", "transport"} & set(names)

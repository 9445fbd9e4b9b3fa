"""Exactly the tests that KNOWN-RED.txt lists are expected to fail."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
TEST_MODULE = """
class TestIt:
    def test_listed(self):
        assert False

    def test_mended(self):
        assert True

    def test_other(self):
        assert False
"""


class TestKnownRed:
    def test_only_listed_tests_are_expected_to_fail(self, tmp_path):
        (tmp_path / "conftest.py").write_text((ROOT / "conftest.py").read_text())
        (tmp_path / "test_it.py").write_text(TEST_MODULE)
        (tmp_path / "KNOWN-RED.txt").write_text(
            "test_it.py::TestIt::test_listed | pytest | seen | issue 1\n"
            "test_it.py::TestIt::test_mended | pytest | seen | issue 1\n"
            "rompeolas-gw hunt seed 7 | fleetbench | seen | issue 1\n"
        )
        command = [sys.executable, "-m", "pytest", "-q", "-rxX", "-p", "no:cacheprovider"]
        completed = subprocess.run(
            command, cwd=tmp_path, capture_output=True, text=True, check=False
        )
        assert completed.returncode == 1
        assert "1 failed, 1 xfailed, 1 xpassed" in completed.stdout

"""A process ends soon after its service has stopped, whatever its tasks do."""

import subprocess
import sys

PROGRAM = """
import asyncio, os, signal
from mode import Service
from tarragonshelf.site._process import run_site_service

class Stubborn(Service):
    async def on_start(self):
        self.task = asyncio.create_task(self.swallow_cancellation())
        asyncio.get_running_loop().call_later(0.3, os.kill, os.getpid(), signal.SIGTERM)

    async def swallow_cancellation(self):
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            pass
        await asyncio.sleep(60)

raise SystemExit(run_site_service(Stubborn, lambda service: None))
"""


class TestEnd:
    # Guards against a stopped process that waits for a task which missed its cancellation, as
    # ``asyncio.wait_for`` of Python 3.11 may let it.
    def test_process_ends_although_a_task_swallows_a_cancellation(self):
        completed = subprocess.run(
            [sys.executable, "-c", PROGRAM],
            capture_output=True,
            text=True,
            timeout=20,
            check=False,
        )
        assert completed.returncode == 0
        assert "tasks_left" in completed.stdout
        assert "swallow_cancellation" in completed.stdout

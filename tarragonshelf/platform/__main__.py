"""Starts a process on the platform: ``python3 -m tarragonshelf.platform entry|control``."""

import gc
import signal
import sys

# Nothing that is loaded at the start is ever garbage: looking for it takes a sixth of the start.
# It begins once the process runs.
gc.disable()
# A reload that comes while the rest is imported must not end the process; the settings are read
# after that anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ._main import main  # noqa: E402

if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))

"""Entry point of a process: ``python3 -m tarragonshelf.platform entry|control``."""

import gc
import signal
import sys

# Objects that imports create are never garbage, and searching them for garbage takes a sixth of
# the start-up time. Collection is enabled once the service has started.
gc.disable()
# A SIGHUP during the imports must not end the process. No reload is lost, as the settings are read
# after the imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ._main import main  # noqa: E402

if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))

"""Processor time of one log line, written and left out, as JSON.

``python -m benchmarks.logging`` writes lines to a null device, as the time of whoever reads them
is not the process's own.
"""

import json
import os
import sys
import time

from tarragonshelf.telemetry import LogRateLimiter, create_clock, create_logger

LINES = 20000
FIELDS = {
    "request": "9c41d07be2a35f68",
    "route": "r-dnn2ctn",
    "target": "i-7f3a91c2",
    "status": 200,
    "version": 7,
    "seconds": 0.2345,
}


def measure(write) -> float:
    """Return the microseconds of processor time of one call."""
    began = time.process_time()
    for _ in range(LINES):
        write()
    return (time.process_time() - began) / LINES * 1e6


def main() -> None:
    """Print the figures."""
    real = os.dup(1)
    null = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null, 1)
    logger = create_logger(vm="e", role="entry", clock=create_clock())
    budget = LogRateLimiter(logger)
    written = measure(lambda: logger.msg("request_answered", **FIELDS))
    left_out = measure(lambda: budget.write("request_answered", **FIELDS))
    sys.stdout.flush()
    os.dup2(real, 1)
    print(json.dumps({"written_us": round(written, 1), "left_out_us": round(left_out, 2)}))


if __name__ == "__main__":
    main()

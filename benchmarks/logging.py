"""Measures the processor time of a log line that is written or suppressed by the rate limiter.

``python -m benchmarks.logging`` prints JSON. Lines go to the null device, because the time of the
process that reads them is not part of the measurement.
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
    """Return the mean processor time of one call in microseconds."""
    started = time.process_time()
    for _ in range(LINES):
        write()
    return (time.process_time() - started) / LINES * 1e6


def main() -> None:
    """Print both times as JSON."""
    saved_stdout = os.dup(1)
    null_device = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null_device, 1)
    logger = create_logger(vm="e", role="entry", clock=create_clock())
    rate_limiter = LogRateLimiter(logger)
    written = measure(lambda: logger.msg("request_answered", **FIELDS))
    left_out = measure(lambda: rate_limiter.write("request_answered", **FIELDS))
    sys.stdout.flush()
    os.dup2(saved_stdout, 1)
    print(json.dumps({"written_us": round(written, 1), "left_out_us": round(left_out, 2)}))


if __name__ == "__main__":
    main()

"""Runs the check of a case and turns its result into an exit code."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .site import CouldNotRunError, Record, Site

MAXIMUM_SECONDS = 110
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def run_case(
    folder: Path,
    check: Callable[[Site, Record, bool], Awaitable[list[str]]],
    **site_options: int,
) -> None:
    """Run a check on a new site and exit with 1 if it returns breaks of the rule.

    The check gets the site, the record, and whether the disruption takes place.
    """
    record = Record(folder / "record.txt")
    sys.exit(asyncio.run(_run(record, check, site_options)))


async def _run(record: Record, check, site_options: dict[str, int]) -> int:
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    site = None
    try:
        site = Site(record, **site_options)
        async with asyncio.timeout(MAXIMUM_SECONDS):
            breaks = await check(site, record, has_trouble)
    except CouldNotRunError as error:
        record.add("could_not_run", problem=str(error))
        print(f"could not run: {error}")
        return COULD_NOT_RUN
    except Exception as error:
        record.add("could_not_run", problem=repr(error))
        traceback.print_exc()
        return COULD_NOT_RUN
    finally:
        if site is not None:
            site.stop(keep_logs=bool(os.environ.get("KEEP")))
    for item in breaks:
        record.add("rule_broken", what=item)
        print(item)
    print("the rule was broken" if breaks else "the rule held")
    return BROKEN if breaks else HELD

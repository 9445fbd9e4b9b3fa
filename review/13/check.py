"""The first configuration has version 00000000: it is acknowledged, and is not stored."""

import asyncio
import json
import time
from pathlib import Path

from review.stand_ins_3.case import HAS_TROUBLE, create_document, create_route, run_case
from review.stand_ins_3.http import call

# Bounds of the site: config_apply, and stable_window, for which the operator reads at least.
CONFIG_APPLY_SECONDS = 2.5
READING_SECONDS = 6.0


async def play(case):
    """Play the case and return the violations."""
    version = 0 if HAS_TROUBLE else 1
    document = create_document(
        version, [create_route("r-1", "/control/", "unsafe", "sessiond")], ["sessiond"]
    )
    case.site.start()
    await case.add_backend("sessiond", "amman-a", 0)
    await case.put(document, seconds=30)
    await asyncio.sleep(CONFIG_APPLY_SECONDS)
    read = {}
    until = time.monotonic() + READING_SECONDS
    while time.monotonic() < until:
        for address in case.site.call_addresses():
            answer = await call(address, "GET", "/v1/config/get")
            text = answer.status
            if answer.status == 200:
                text = f"200 {json.loads(answer.body)['version']}"
                if json.loads(answer.body) != json.loads(document):
                    text += " with other content"
            case.journal.note(f"read at {address[0]}: {text} {answer.body[:60]!r}")
            read[text] = read.get(text, 0) + 1
        await asyncio.sleep(0.5)
    if set(read) & {f"200 {version:08x}"} and not any("other" in str(text) for text in read):
        return []
    return [f"CONFIG: version {version:08x} was acknowledged, and reads gave {read}"]


if __name__ == "__main__":
    run_case(Path(__file__).parent / "record.txt", play, entries=1)

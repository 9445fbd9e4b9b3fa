"""Asks a running entry where a request would go now."""

import json
from typing import Any
from urllib.error import HTTPError, URLError
from urllib.parse import urlencode
from urllib.request import urlopen

from ..commands import RefusedError

TIMEOUT_SECONDS = 5.0


def fetch_placement(
    address: str, *, method: str, host: str, path: str, account: str = ""
) -> dict[str, Any]:
    """Return the answer of the entry with an administration address.

    Raises
    ------
    RefusedError
        If the entry does not answer or cannot tell.
    """
    query = urlencode({"method": method, "host": host, "path": path, "account": account})
    try:
        with urlopen(f"http://{address}/where?{query}", timeout=TIMEOUT_SECONDS) as response:
            return json.load(response)
    except HTTPError as error:
        problem = error.read(1000).decode(errors="replace")
        raise RefusedError(f"{address} answers {error.code}: {problem}") from error
    except (URLError, OSError, ValueError) as error:
        raise RefusedError(f"{address} does not answer: {error}") from error


def format_placement(answer: dict[str, Any]) -> list[str]:
    """Return an answer as human-readable lines."""
    kind = "repeatable" if answer["is_repeatable"] else "not repeatable"
    lines = [
        f"{answer['method']} {answer['host']}{answer['path']}: route {answer['route']} (prefix "
        f"{answer['prefix']}, {kind}), version {answer['version']}"
    ]
    if answer["account_problem"]:
        lines.append(f"refused: {answer['account_problem']}")
    if answer["path_is_lost"]:
        lines.append("the entry reaches no target, so another entry would be asked to relay it")
    for service in answer["services"]:
        chosen = service["target"] or "no target"
        lines.append(
            f"service {service['service']} (weight {service['weight']:g}): {chosen} of "
            f"{service['targets_count']}"
        )
        lines += [f"  {_format_target(item)}" for item in service["targets"]]
    return lines


def _format_target(item: dict[str, Any]) -> str:
    costs = " ".join(f"{name} {cost:.4f}" for name, cost in item["costs"].items())
    limit = "" if item["limit"] is None else f" limit {item['limit']:g}/s"
    obstacle = f" ({item['obstacle']})" if item["obstacle"] else ""
    return (
        f"{item['target']} {item['data_centre']} {item['standing']} "
        f"{item['held']}/{item['slots']}{limit}{obstacle}: "
        f"cost {sum(item['costs'].values()):.4f} = {costs}"
    )

"""Creates the process that a role names."""

import os
import sys

from mode import Service

from ..site import EdgeService, HubService, run_site_service
from ._control_calls import ControlCalls
from ._documents import DocumentReader
from ._entry_calls import EntryDialect, EntryQuestions
from ._settings import (
    FILE_VARIABLE,
    NETWORK_SECRET,
    create_edge_settings,
    create_hub_settings,
    read_seed_hubs,
    read_seed_vms,
    read_settings,
)
from ._values import MalformedError

EXIT_REFUSED = 1
EXIT_USAGE = 2
USAGE = "usage: python3 -m tarragonshelf.platform entry|control"


def main(arguments: list[str]) -> int:
    """Run the role that the arguments name and return the exit code."""
    path = os.environ.get(FILE_VARIABLE, "")
    if arguments not in (["entry"], ["control"]) or not path:
        print(f"{USAGE}, with {FILE_VARIABLE} naming the settings file", file=sys.stderr)
        return EXIT_USAGE
    create = create_entry if arguments == ["entry"] else create_control
    try:
        fields = read_settings(path)
        return run_site_service(
            lambda: create(fields), lambda service: reload_settings(service, path)
        )
    except (OSError, MalformedError) as error:
        print(f"settings {path}: {error}", file=sys.stderr)
        return EXIT_REFUSED


def create_entry(fields: dict) -> Service:
    """Return the entry's service."""
    settings, addresses = create_edge_settings(fields)
    return EdgeService(
        settings,
        addresses,
        reader=DocumentReader(),
        dialect=EntryDialect(),
        questions=EntryQuestions(settings.address_seconds),
        secret=NETWORK_SECRET,
    )


def create_control(fields: dict) -> Service:
    """Return the control's service."""
    return HubService(
        create_hub_settings(fields),
        reader=DocumentReader(),
        calls=ControlCalls(),
        secret=NETWORK_SECRET,
    )


def reload_settings(service: Service, path: str) -> None:
    """Take the hubs over that the settings file names now; nothing else changes while running."""
    try:
        fields = read_settings(path)
        if isinstance(service, EdgeService):
            service.reload(read_seed_hubs(fields))
        else:
            service.reload(read_seed_vms(fields))
    except (OSError, MalformedError) as error:
        service.logger.msg("settings_not_reloaded", problem=str(error))

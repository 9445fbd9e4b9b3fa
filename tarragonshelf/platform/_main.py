"""Command line: starts the process of a role."""

import os
import sys
from importlib import import_module
from types import ModuleType

from mode import Service

from ..site import run_site_service
from ._settings import FILE_VARIABLE, read_settings
from ._values import MalformedError

EXIT_REFUSED = 1
EXIT_USAGE = 2
USAGE = "usage: python3 -m tarragonshelf.platform entry|control"
# Only the module of the selected role is imported, to shorten the start-up.
ROLES = {"entry": "._entry", "control": "._control"}


def main(arguments: list[str]) -> int:
    """Run the role that the arguments select and return the exit code."""
    path = os.environ.get(FILE_VARIABLE, "")
    if len(arguments) != 1 or arguments[0] not in ROLES or not path:
        print(
            f"{USAGE}; {FILE_VARIABLE} must be set to the path of the settings file",
            file=sys.stderr,
        )
        return EXIT_USAGE
    role = import_module(ROLES[arguments[0]], __package__)
    try:
        fields = read_settings(path)
        return run_site_service(
            lambda: role.create_service(fields), lambda service: reload(role, service, path)
        )
    except (OSError, MalformedError) as error:
        print(f"settings {path}: {error}", file=sys.stderr)
        return EXIT_REFUSED


def reload(role: ModuleType, service: Service, path: str) -> None:
    """Apply the hubs of the changed settings file; other settings need a restart."""
    try:
        role.reload_service(service, read_settings(path))
    except (OSError, MalformedError) as error:
        service.logger.msg("settings_not_reloaded", problem=str(error))

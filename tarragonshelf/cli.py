"""Command line of daemons and operators."""

import asyncio
import json
import sys
import uuid
from contextlib import ExitStack
from dataclasses import asdict, is_dataclass
from pathlib import Path
from typing import Any

import fire

from . import commands, queries
from .configuration import ApplyState, Finding, parse_document
from .daemons import create_control_service, create_entry_service, run_service
from .settings import (
    load_control_settings,
    load_entry_settings,
    load_operator_settings,
    read_secret,
)

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2


class CommandLine:
    """tarragonshelf: a proxy fleet for targets with gray failures.

    Exit codes: 0 success; 1 refused, or validation findings (one per line, each with its place
    in the document); 2 wrong usage.
    """

    def control(self, settings: str) -> None:
        """Run a control process until SIGTERM.

        Example: tarragonshelf control --settings control-1.json
        """
        loaded = _unwrap(load_control_settings(settings))
        secret = _unwrap(read_secret(settings, loaded.secret_file))
        _exit(run_service(lambda: create_control_service(loaded, secret)))

    def entry(self, settings: str) -> None:
        """Run an entry process until SIGTERM.

        Example: tarragonshelf entry --settings entry-1.json
        """
        loaded = _unwrap(load_entry_settings(settings))
        secret = _unwrap(read_secret(settings, loaded.secret_file))
        _exit(run_service(lambda: create_entry_service(loaded, secret)))

    def initialize(self, settings: str = "", control: str = "", secret_file: str = "") -> None:
        """Bootstrap the first voter set of a new fleet from all controls of the settings.

        Example: tarragonshelf initialize --settings operator.json
        """
        membership = _run_command(settings, control, secret_file, commands.initialize_fleet)
        print(
            f"initialized {len(membership.voters)} voters: {', '.join(sorted(membership.voters))}"
        )

    def apply(
        self,
        file: str,
        settings: str = "",
        control: str = "",
        secret_file: str = "",
        change_id: str = "",
        base_version: int = -1,
        json: bool = False,
    ) -> None:
        """Validate and apply a configuration document, and report the progress of its rollout.

        A document is applied as a whole or not at all. After a lost reply, repeat the command
        with the same --change-id. With --base-version, the change is refused if a version
        other than this one is in force.

        Example: tarragonshelf apply examples/rompeolas.json --settings operator.json
        """
        _, content = _unwrap(parse_document(_read_file(file)))
        change = str(change_id) or uuid.uuid4().hex

        def run(client):
            return commands.apply_document(
                client,
                content,
                change_id=change,
                base_version=None if base_version < 0 else base_version,
            )

        rollout = _run_command(settings, control, secret_file, run)
        if json:
            _print_json({"change_id": change, **asdict(rollout)})
        else:
            _print_rollout(rollout, change)
        is_done = rollout.result.state == ApplyState.ACCEPTED and not rollout.lagging
        _exit(EXIT_DONE if is_done else EXIT_REFUSED)

    def drain(
        self,
        vm: str,
        settings: str = "",
        control: str = "",
        secret_file: str = "",
        undo: bool = False,
    ) -> None:
        """Drain an entry VM: callers no longer get its address. Reverse it with --undo.

        Example: tarragonshelf drain entry-3 --settings operator.json
        """

        def run(client):
            return commands.set_drained(client, str(vm), drained=not undo)

        _run_command(settings, control, secret_file, run)
        print(f"VM {vm}: {'back in use' if undo else 'drained'}")

    def retire(
        self, vm: str, settings: str = "", control: str = "", secret_file: str = ""
    ) -> None:
        """Remove the replica of a permanently lost control VM from the voter set.

        Example: tarragonshelf retire control-2 --settings operator.json
        """
        _run_command(
            settings, control, secret_file, lambda client: commands.retire_vm(client, str(vm))
        )
        print(f"VM {vm}: its replica is no longer a voter")

    def settle(
        self,
        key: str,
        outcome: str,
        settings: str = "",
        control: str = "",
        secret_file: str = "",
    ) -> None:
        """Record the outcome of an unresolved order: --outcome ran, or --outcome not-run.

        Example: tarragonshelf settle 'muni|POST /repuestos|k1' ran --settings operator.json
        """
        if outcome not in ("ran", "not-run"):
            print(f"outcome {outcome!r} is neither 'ran' nor 'not-run'", file=sys.stderr)
            _exit(EXIT_USAGE)

        def run(client):
            return commands.settle_order(client, str(key), ran=outcome == "ran")

        state = _run_command(settings, control, secret_file, run)
        print(f"order {key}: {state}")

    def check(self, file: str) -> None:
        """Validate a configuration document and print all findings, each with its place.

        Example: tarragonshelf check examples/amann.json
        """
        document, _ = _unwrap(parse_document(_read_file(file)))
        services, routes = len(document.services), len(document.routes)
        print(f"{file}: {services} services, {routes} routes, no findings")

    def status(
        self, settings: str = "", control: str = "", secret_file: str = "", json: bool = False
    ) -> None:
        """Show voters, versions in force, targets, capacity against floors, unresolved orders.

        Example: tarragonshelf status --settings operator.json
        """
        status = _run_command(settings, control, secret_file, queries.fetch_fleet_status)
        if json:
            _print_json(status)
        else:
            print("\n".join(queries.format_status(status)))

    def unresolved(
        self, settings: str = "", control: str = "", secret_file: str = "", json: bool = False
    ) -> None:
        """List orders with an unknown outcome, which may or may not have run.

        Example: tarragonshelf unresolved --settings operator.json
        """
        records = _run_command(settings, control, secret_file, queries.fetch_unresolved_orders)
        if json:
            _print_json(records)
            return
        for record in records:
            print(f"{record.key} service={record.service} since={record.since}: {record.reason}")
        print(f"{len(records)} unresolved")

    def configuration(
        self, settings: str = "", control: str = "", secret_file: str = "", json: bool = False
    ) -> None:
        """Show the configuration in force.

        Example: tarragonshelf configuration --settings operator.json --json
        """
        followed, content = _run_command(
            settings, control, secret_file, queries.fetch_configuration
        )
        current = followed.configuration
        if json:
            _print_json({"version": current.version, "document": content})
        else:
            print(f"version {current.version} by {current.author} ({current.change_id})")
            print(_format_json(content))

    def timeline(
        self,
        *logs: str,
        order: str = "",
        request: str = "",
        target: str = "",
        service: str = "",
        since: int = 0,
        until: int = 0,
        json: bool = False,
    ) -> None:
        """Merge the logs of all processes into one causally ordered timeline.

        Example: tarragonshelf timeline run/*.log --order k1
        """
        if not logs:
            print("timeline needs at least one log file", file=sys.stderr)
            _exit(EXIT_USAGE)
        event_filter = queries.TimelineFilter(str(request), target, service, since, until)
        with ExitStack() as stack:
            files = [stack.enter_context(_open_log(log)) for log in logs]
            events = queries.merge_logs(files)
            if order:
                events = queries.select_order_events(events, str(order))
            for event in events:
                if event_filter.includes(event):
                    print(_format_json(event.fields) if json else queries.format_event(event))

    def explain(self, request: str, *logs: str) -> None:
        """Explain the outcome of a request from the logs of all processes.

        Example: tarragonshelf explain 9c41d07be2a35f68 entry-*.log control-*.log
        """
        if not logs:
            print("explain needs at least one log file", file=sys.stderr)
            _exit(EXIT_USAGE)
        with ExitStack() as stack:
            files = [stack.enter_context(_open_log(log)) for log in logs]
            explanation = queries.explain_request(queries.merge_logs(files), str(request))
        print("\n".join(queries.format_explanation(explanation)))
        if not explanation.events:
            _exit(EXIT_REFUSED)

    def where(
        self,
        entry: str,
        host: str,
        path: str,
        method: str = "GET",
        account: str = "",
        json: bool = False,
    ) -> None:
        """Explain where a running entry would send a request now, without sending it.

        Example: tarragonshelf where 10.0.0.5:9100 shop.example /cart --account acme
        """
        try:
            answer = queries.fetch_placement(
                str(entry),
                method=str(method),
                host=str(host),
                path=str(path),
                account=str(account),
            )
        except commands.RefusedError as error:
            print(error, file=sys.stderr)
            _exit(EXIT_REFUSED)
        if json:
            _print_json(answer)
        else:
            print("\n".join(queries.format_placement(answer)))

    def losses(self, *logs: str, svg: str = "") -> None:
        """Classify every request that was not served, from the logs of all processes.

        Example: tarragonshelf losses entry-*.log control-*.log --svg losses.svg
        """
        if not logs:
            print("losses needs at least one log file", file=sys.stderr)
            _exit(EXIT_USAGE)
        with ExitStack() as stack:
            files = [stack.enter_context(_open_log(log)) for log in logs]
            report = queries.list_losses(queries.merge_logs(files))
        print("\n".join(queries.format_losses(report)))
        if svg:
            _write_file(svg, queries.draw_losses(report))


def _run_command(settings: str, control: str, secret_file: str, run) -> Any:
    """Run a command with a connected client; print the error and exit if it is refused."""
    operator, secret, addresses = _load_connection_settings(settings, control, secret_file)

    async def connect_and_run():
        client = commands.create_operator_client(
            operator=operator, secret=secret, addresses=addresses
        )
        try:
            return await run(client)
        finally:
            client.close()

    try:
        return asyncio.run(connect_and_run())
    except commands.RefusedError as error:
        print(f"refused: {error}", file=sys.stderr)
        _exit(EXIT_REFUSED)


def _load_connection_settings(
    settings: str, control: str, secret_file: str
) -> tuple[str, bytes, list[str]]:
    if settings:
        loaded = _unwrap(load_operator_settings(settings))
        secret = _unwrap(read_secret(settings, loaded.secret_file))
        addresses = [item.address for item in loaded.controls]
        return loaded.operator, secret, [control] if control else addresses
    if not control or not secret_file:
        print("either --settings FILE or --control HOST:PORT and --secret-file FILE is required")
        _exit(EXIT_USAGE)
    return "operator", _unwrap(read_secret(".", secret_file)), [control]


def _unwrap(result) -> Any:
    """Return the value of a result, or print all of its findings and exit."""
    if result.is_ok():
        return result.ok
    findings: list[Finding] = result.error
    for finding in findings:
        print(finding)
    _exit(EXIT_REFUSED)


def _read_file(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        print(f"file {path!r} cannot be read: {error.strerror}", file=sys.stderr)
        _exit(EXIT_REFUSED)


def _write_file(path: str, content: str) -> None:
    try:
        Path(path).write_text(content)
    except OSError as error:
        print(f"file {path!r} cannot be written: {error.strerror}", file=sys.stderr)
        _exit(EXIT_REFUSED)


def _open_log(path: str):
    try:
        return Path(path).open()
    except OSError as error:
        print(f"log {path!r} cannot be read: {error.strerror}", file=sys.stderr)
        _exit(EXIT_REFUSED)


def _print_rollout(rollout: commands.RolloutStatus, change_id: str) -> None:
    result = rollout.result
    if result.state == ApplyState.ACCEPTED:
        print(f"version {result.version} accepted (change {change_id})")
        print(f"in force in {rollout.in_force} entries, {len(rollout.lagging)} lag")
        for entry in rollout.lagging:
            print(f"entry {entry.vm} has version {entry.version} in force")
    elif result.state == ApplyState.CONFLICT:
        print(f"conflict: version {result.version} by {result.author!r} came first")
    else:
        print(f"refused: change {change_id!r} was {result.state}")


def _print_json(value: Any) -> None:
    print(_format_json(value))


def _format_json(value: Any) -> str:
    return json.dumps(value, default=_convert_to_json)


def _convert_to_json(value: Any) -> Any:
    if is_dataclass(value):
        return asdict(value)
    if isinstance(value, bytes):
        return value.decode(errors="replace")
    return str(value)


def _exit(code: int) -> None:
    sys.stdout.flush()
    raise SystemExit(code)


def main() -> None:
    """Run the command line."""
    fire.Fire(CommandLine(), name="tarragonshelf")

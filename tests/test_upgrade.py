"""The processes of a site are replaced one by one by those of another build, and back."""

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from random import Random

import pytest

from soak._faults import LIMIT_KIND, PATH_KINDS
from soak._history import History, SentRequest
from soak._upgrade import (
    RELAYING_PACKAGE,
    ROOT,
    CommitMissingError,
    Upgrade,
    UpgradeHistory,
    Upgrader,
    UpgradeSite,
    count_events,
    create_later_build,
    draw_upgrade_faults,
    extract_commit,
    run_upgrade,
)

# The landing before this one, whose processes run when an upgrade begins.
LAST_LANDING = "5b1706b"
# Kinds of messages since the last landing, by number. That build drops and reports a one-way
# message of an unknown kind, so each of these has to be one-way and safe to lose. A call needs a
# refusal that its caller handles, and is not listed here.
NEW_ONE_WAY_KINDS = {
    # Without a reply in time an entry decides from its local share of the allowance.
    "113": "allowanceRequest",
    "114": "allowanceReply",
    "115": "relayedAllowanceRequest",
    "116": "relayedAllowanceReply",
}
CI_SEED = 5
SIZES = {"controls": 3, "entries": 2, "targets": 6}
LATER_SIZES = {"controls": 3, "entries": 1, "targets": 6, "kinds": ("target-bad",)}

# Prints what a build sends: kinds and fields by number, and the fields without a default and the
# enumerations of each message.
DESCRIBE_WIRE = """
import dataclasses, enum, json, typing
from tarragonshelf.transport import create_codec
from tarragonshelf.transport.generated import ttypes

kinds, fields, required, values = {}, {}, {}, {}
for spec in filter(None, ttypes.Body.thrift_spec):
    kinds[spec[0]] = spec[2]
    specs = filter(None, spec[3][0].thrift_spec)
    fields[spec[2]] = {field[0]: [field[1], field[2]] for field in specs}
for message_class, (name, _) in create_codec()._fields.items():
    required[name] = [
        field.name
        for field in dataclasses.fields(message_class)
        if field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING
    ]
    for hint in typing.get_type_hints(message_class).values():
        if isinstance(hint, type) and issubclass(hint, enum.StrEnum):
            values[f"{name}.{hint.__name__}"] = [str(item) for item in hint]
print(json.dumps({"kinds": kinds, "fields": fields, "required": required, "values": values}))
"""


def describe_wire(build: Path) -> dict:
    """Return the messages of a build."""
    printed = subprocess.run(
        [sys.executable, "-c", DESCRIBE_WIRE], cwd=build, capture_output=True, check=True
    )
    return json.loads(printed.stdout)


def find_incompatibilities(old: dict, new: dict) -> list[str]:
    """Return why processes of two builds cannot work together, if anything.

    The old build drops a message with a kind or a value that it does not know. Only the new kinds
    for which this is known to be safe are compatible.
    """
    problems = []
    for number, name in old["kinds"].items():
        if new["kinds"].get(number) != name:
            problems.append(f"kind {number} was {name}")
    problems += [
        f"kind {number} {name} is new"
        for number, name in new["kinds"].items()
        if number not in old["kinds"] and NEW_ONE_WAY_KINDS.get(number) != name
    ]
    for name, fields in old["fields"].items():
        for number, field in fields.items():
            if new["fields"].get(name, {}).get(number) != field:
                problems.append(f"field {number} of {name} was {field}")
    for name, required in new["required"].items():
        known = set(old["required"].get(name, required))
        problems += [f"{name} now needs {field}" for field in required if field not in known]
    for name, values in new["values"].items():
        known = set(old["values"].get(name, values))
        problems += [f"{name} has the new value {item}" for item in values if item not in known]
    return problems


def extract_or_skip(commit: str, folder: Path) -> Path:
    """Return the build of a commit; skip the test if the checkout does not contain it."""
    try:
        return extract_commit(commit, folder)
    except CommitMissingError as error:
        pytest.skip(str(error))


def list_started_builds(log: Path) -> list[str]:
    """Return the names of the builds of a VM's processes, in the order of their starts."""
    lines = [line for line in log.read_text().splitlines() if '"build_started"' in line]
    return [json.loads(line)["build"] for line in lines]


class TestBuilds:
    def test_commit_that_is_not_in_the_checkout(self, tmp_path):
        missing = "0" * 40
        with pytest.raises(CommitMissingError, match=missing):
            extract_commit(missing, tmp_path)

    @pytest.mark.parametrize(
        ("relaying", "expected"), [((True, True), True), ((True, False), False)]
    )
    def test_relaying_needs_all_builds(self, tmp_path, relaying, expected):
        builds = (tmp_path / "a", tmp_path / "b")
        for build, has_relaying in zip(builds, relaying, strict=True):
            build.mkdir()
            if has_relaying:
                (build / RELAYING_PACKAGE).mkdir(parents=True)
        assert Upgrade(builds).has_relaying == expected

    def test_this_build_relays(self):
        assert Upgrade((ROOT,)).has_relaying


class TestWire:
    def test_messages_are_compatible_with_the_last_landing(self, tmp_path):
        old = describe_wire(extract_or_skip(LAST_LANDING, tmp_path))
        assert find_incompatibilities(old, describe_wire(ROOT)) == []

    @pytest.mark.parametrize(
        ("part", "key", "value", "problem"),
        [
            ("kinds", "1", "other", "kind 1 was member"),
            ("kinds", "199", "news", "kind 199 news is new"),
            ("kinds", "113", "news", "kind 113 was allowanceRequest"),
            ("fields", "hubBeat", {}, "field 1 of hubBeat was"),
            ("required", "hubBeat", ["vm", "is_current", "edges"], "hubBeat now needs edges"),
            ("values", "evidenceItem.EvidenceKind", ["b", "zz"], "has the new value zz"),
        ],
    )
    def test_each_kind_of_incompatible_change_is_found(self, part, key, value, problem):
        old = describe_wire(ROOT)
        new = {**old, part: {**old[part], key: value}}
        problems = find_incompatibilities(old, new)
        assert any(problem in item for item in problems), problems

    def test_new_kind_is_compatible_only_under_its_listed_number(self):
        """Guards against a listed number that is used for another message than the listed one."""
        new = describe_wire(ROOT)
        old_kinds = {key: item for key, item in new["kinds"].items() if key != "113"}
        old = {**new, "kinds": old_kinds}
        assert find_incompatibilities(old, new) == []
        renamed = {**new, "kinds": {**old_kinds, "113": "news"}}
        assert find_incompatibilities(old, renamed) == ["kind 113 news is new"]

    def test_new_field_with_a_default_is_compatible(self):
        old = describe_wire(ROOT)
        fields = {**old["fields"]["hubBeat"], "90": [10, "added"]}
        new = {**old, "fields": {**old["fields"], "hubBeat": fields}}
        assert find_incompatibilities(old, new) == []


class TestHistory:
    @pytest.mark.parametrize("has_relaying", [True, False])
    def test_path_rule_is_checked_if_all_builds_know_it(self, has_relaying):
        history = UpgradeHistory()
        history.has_relaying = has_relaying
        for entry, status in (("e", 503), ("f", 200)):
            for index in range(100):
                sent = SentRequest(f"{entry}{index}", True, entry, 5.0)
                sent.status, sent.ended_at = status, 5.1
                history.sent[sent.request_id] = sent
        history.check_path_cut(["e"], 0.0, 10.0, controls=["c1", "c2", "c3"], others=["f"])
        assert bool(history.violations) == has_relaying


class TestFaults:
    def test_faults_leave_the_processes_running(self):
        kinds = {
            fault.kind for seed in range(30) for fault in draw_upgrade_faults(Random(seed), 20.0)
        }
        assert kinds == {"target-bad", LIMIT_KIND, *PATH_KINDS}

    def test_only_the_given_kinds_are_drawn(self):
        faults = draw_upgrade_faults(Random(1), 20.0, ("target-bad",))
        assert {fault.kind for fault in faults} == {"target-bad"}


class TestOrder:
    def test_each_process_changes_to_each_build_before_the_next_one(self, tmp_path):
        history = History()
        site = UpgradeSite(
            tmp_path,
            controls=2,
            entries=1,
            history=history,
            random=Random(2),
            build=tmp_path / "old",
        )
        upgrader = Upgrader(site, [], history, Random(1))
        replaced = []

        async def replace(vm, fault):
            replaced.append((vm, site.builds[vm].name))

        upgrader._upgrade_one = replace
        upgrader.pause_seconds = (0.0, 0.0)
        asyncio.run(upgrader.upgrade((tmp_path / "new", tmp_path / "old")))
        assert sorted(replaced[:3]) == sorted((vm, "new") for vm in site.vms)
        assert sorted(replaced[3:]) == sorted((vm, "old") for vm in site.vms)


@pytest.mark.process
class TestUpgrade:
    def test_upgrade_to_a_build_with_new_messages_violates_no_guarantee(self, tmp_path):
        """Every link carries messages that the earlier of the two builds does not know."""
        later = create_later_build(ROOT, tmp_path)
        folder = tmp_path / "run"
        result = run_upgrade(CI_SEED, (ROOT, later), folder, **LATER_SIZES)
        assert result["broken"] == []
        assert result["events"]["peer_frame_malformed"] == 0
        for log in folder.glob("*.log"):
            assert '"event":"message_unknown"' in log.read_text(), log.name

    def test_upgrade_from_the_last_landing_and_back_violates_no_guarantee(self, tmp_path):
        old = extract_or_skip(LAST_LANDING, tmp_path)
        folder = tmp_path / "run"
        result = run_upgrade(CI_SEED, (old, ROOT, old), folder, **SIZES)
        assert result["broken"] == []
        logs = sorted(folder.glob("*.log"))
        assert len(logs) == SIZES["controls"] + SIZES["entries"]
        for log in logs:
            assert list_started_builds(log) == [old.name, ROOT.name, old.name]
        assert count_events(folder, "memory_not_restored") == 0

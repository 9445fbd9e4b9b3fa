"""Tests of the validation of documents and of their chunks."""

import copy
import json

from hypothesis import given
from hypothesis import strategies as st

from ...configuration import (
    assemble_document,
    check_document,
    parse_document,
    split_document,
)

DOCUMENT = {
    "name": "rompeolas",
    "regions": [{"name": "norte", "data_centres": ["n1"]}],
    "services": [
        {"name": "rondas", "targets": 12, "floor": 8},
        {"name": "firmas", "targets": 12, "floor": 8},
    ],
    "routes": [
        {"path": "/rondas", "service": "rondas"},
        {"path": "/firmas", "service": "firmas", "methods": ["POST"], "not_repeatable": True},
    ],
    "accounts": [{"name": "mancora", "rate": 10}],
}


def list_findings(content) -> list[str]:
    return [str(finding) for finding in check_document(content).error]


class TestFindings:
    def test_all_errors_are_reported_together(self):
        content = copy.deepcopy(DOCUMENT)
        content["services"][1]["floor"] = 14
        content["routes"][0]["service"] = "nadie"
        content["accounts"][0]["rate"] = -1
        content["colour"] = "blue"
        del content["regions"][0]["name"]
        assert sorted(list_findings(content)) == [
            "accounts[0].rate: input should be greater than 0, got -1",
            "colour: is not a known key",
            "regions[0].name: is missing",
            "routes[0].service: service 'nadie' does not exist in this document",
            "services[1].floor: 14 exceeds the 12 targets of service 'firmas'",
        ]

    def test_duplicate_names_are_reported(self):
        content = copy.deepcopy(DOCUMENT)
        content["services"].append(content["services"][0])
        content["routes"].append(content["routes"][0])
        places = [finding.split(":")[0] for finding in list_findings(content)]
        assert places == ["services[2].name", "routes[2].path"]

    def test_text_that_is_no_json_object_is_reported(self):
        assert parse_document(b"{").error[0].place == "document"
        assert parse_document(b"[]").error[0].place == "document"

    def test_valid_document_is_parsed(self):
        document, _ = parse_document(json.dumps(DOCUMENT)).ok
        assert document.services[0].floor == 8


def sort_lists(content: dict) -> dict:
    ordered = {key: value for key, value in content.items() if key not in ("routes", "accounts")}
    ordered["routes"] = sorted(content["routes"], key=json.dumps)
    ordered["accounts"] = sorted(content["accounts"], key=json.dumps)
    return ordered


class TestChunks:
    @given(st.integers(0, 300), st.integers(1, 200))
    def test_chunks_restore_the_document(self, accounts, routes):
        content = copy.deepcopy(DOCUMENT)
        content["accounts"] = [{"name": f"a{n}", "rate": 1} for n in range(accounts)]
        content["routes"] = [{"path": f"/p{n}", "service": "rondas"} for n in range(routes)]
        chunks = split_document(content)
        restored = assemble_document([chunk.content for chunk in chunks])
        restored.setdefault("accounts", [])
        assert sort_lists(restored) == sort_lists(content)

    def test_change_of_one_account_changes_one_chunk(self):
        content = copy.deepcopy(DOCUMENT)
        content["accounts"] = [{"name": f"a{n}", "rate": 1} for n in range(2000)]
        before = {chunk.digest for chunk in split_document(content)}
        content["accounts"][77]["rate"] = 2
        after = {chunk.digest for chunk in split_document(content)}
        assert len(after - before) == 1

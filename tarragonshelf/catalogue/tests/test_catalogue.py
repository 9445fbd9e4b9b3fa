"""Tests of the route table, validation and the register."""

from dataclasses import replace
from random import Random

from ...catalogue import (
    Catalogue,
    CatalogueRegister,
    PutCatalogue,
    Route,
    RouteTable,
    ServiceSpec,
    WeightedService,
    find_validation_errors,
)

ROUTE = Route("r", "a.example", "/x/", True, 1.0, 0.5, 1, 2, (WeightedService("s", 1.0),))
VALID = Catalogue(3, (ROUTE,), (ServiceSpec("s", 100), ServiceSpec("t", 100)))


class TestValidation:
    def test_valid_catalogue_has_no_errors(self):
        assert find_validation_errors(VALID) == ()

    def test_all_errors_are_reported_with_their_place(self):
        shares = (WeightedService("unknown", -1.0), WeightedService("t", 1.0))
        broken = replace(ROUTE, host="", timeout=0.0, prefix="/y/", services=shares)
        twin = replace(ROUTE, name="q")
        errors = find_validation_errors(replace(VALID, routes=(ROUTE, broken, twin)))
        text = "\n".join(errors)
        assert "routes[1].host: is empty" in text
        assert "routes[1].timeout: is not above 0" in text
        assert "routes[1].services: 'unknown' is unknown" in text
        assert "routes[1].services: the weight of 'unknown' is below 0" in text
        assert "routes[1].services: the weights add up to 0" in text
        assert "routes[0]: host 'a.example' and prefix '/x/' stand twice" in text
        assert "routes[2]: host 'a.example' and prefix '/x/' stand twice" in text


class TestRegister:
    def test_highest_version_stays_in_force(self):
        register = CatalogueRegister()
        assert register.apply(1, PutCatalogue(5, b"five")).version == 5
        assert register.apply(2, PutCatalogue(4, b"four")).version == 5
        assert register.copy.content == b"five"

    def test_other_content_of_the_version_in_force_changes_nothing(self):
        register = CatalogueRegister()
        register.apply(1, PutCatalogue(5, b"five"))
        register.apply(2, PutCatalogue(5, b"other"))
        assert register.copy.content == b"five"

    def test_log_entry_without_a_command_only_advances_the_index(self):
        register = CatalogueRegister()
        register.apply(1, PutCatalogue(5, b"five"))
        register.apply(2, None)
        assert (register.state.index, register.copy.version) == (2, 5)


class TestRouteTable:
    def test_longest_prefix_wins(self):
        deep = replace(ROUTE, name="deep", prefix="/x/y/")
        table = RouteTable(replace(VALID, routes=(ROUTE, deep)), Random(1))
        assert table.match("a.example", "/x/y/z").route.name == "deep"
        assert table.match("A.EXAMPLE:80", "/x/z").route.name == "r"

    def test_other_host_or_path_has_no_route(self):
        table = RouteTable(VALID, Random(1))
        assert table.match("b.example", "/x/z") is None
        assert table.match("a.example", "/x") is None

    def test_shares_are_proportional_to_the_weights(self):
        shares = (WeightedService("s", 90), WeightedService("t", 10), WeightedService("u", 0))
        split = replace(ROUTE, services=shares)
        table = RouteTable(replace(VALID, routes=(split,)), Random(1))
        chosen = [table.match("a.example", "/x/").service for _ in range(200)]
        assert abs(chosen.count("t") - 20) <= 1
        assert chosen.count("u") == 0

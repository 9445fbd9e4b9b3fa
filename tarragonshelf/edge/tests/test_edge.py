"""What an entry believes, and which hub it follows."""

from dataclasses import replace
from random import Random

from ...avoidance import EvidenceItem, EvidenceKind, EvidenceNews, Standing
from ...catalogue import CatalogueCopy, compress_content
from ...edge import (
    EdgeNode,
    EdgeSettings,
    FollowHub,
    HubLost,
    HubReceived,
    RetryDecided,
    SendToHub,
)
from ...forwarding import ForwardRequest, RetryBudgetSettings
from ...forwarding.tests.fakes import create_route
from ...hub import (
    EdgeNews,
    EdgeRecord,
    HubBeat,
    HubNews,
    HubRecord,
    LoadItem,
    LoadNews,
    LoadReport,
    RepeatAsk,
    RepeatReply,
    Subscribe,
)
from ...hub.tests.fakes import FakeReader
from ...registry import TargetEntry, TargetNews, TargetState
from ...replication import EmitEvent

PLACES = {"z0": "r0", "z1": "r0", "z2": "r1"}
SETTINGS = EdgeSettings(
    vm="e0",
    address="e0:80",
    data_centre="z0",
    topology=PLACES,
    hubs=("h1:7", "h2:7"),
    budget=RetryBudgetSettings(ratio=0.2, slack=50.0, window=10.0),
    address_lifetime_seconds=1.5,
)
TARGET = TargetEntry("i-1", 1000, 1, TargetState.READY, "10.0.0.1:80", "s", "z0", 3)
HUBS = (
    HubRecord("h0", "h0:7", "h0:80", "z0"),
    HubRecord("h1", "h1:7", "h1:80", "z1"),
    HubRecord("h2", "h2:7", "h2:80", "z2"),
)


class Fixture:
    """An entry that is told things by the hub that it follows."""

    def __init__(self, seed: int = 1):
        self.node = EdgeNode(settings=SETTINGS, reader=FakeReader(), random=Random(seed))
        self.now = 10.0
        self.effects = []

    def tick(self, seconds: float = 0.05):
        self.now += seconds
        self.effects = self.node.tick(self.now)
        return self

    def tell(self, *messages):
        for message in messages:
            received = HubReceived(self.node.hubs.address, message)
            self.effects = self.node.handle(self.now, received)
        return self

    def find(self, kind):
        return [item for item in self.effects if isinstance(item, kind)]

    def serve(self):
        self.tick().tell(HubBeat("h1", True), HubNews(HUBS)).tick()
        copy = CatalogueCopy(3, compress_content(b"3"))
        return self.tell(HubBeat("h0", True), copy, TargetNews((TARGET,)))


class TestReadiness:
    def test_it_needs_a_catalogue_and_targets(self):
        fixture = Fixture().tick()
        assert not fixture.node.is_ready
        fixture.tell(CatalogueCopy(3, compress_content(b"3")))
        assert not fixture.node.is_ready
        fixture.tell(TargetNews((TARGET,)))
        assert fixture.node.is_ready
        assert [item.message.is_serving for item in fixture.find(SendToHub)] == [True]

    def test_a_stop_withdraws_it_at_once(self):
        fixture = Fixture().serve()
        effects = fixture.node.stop()
        assert isinstance(effects[0].message, Subscribe)
        assert not effects[0].message.is_serving
        assert not fixture.node.is_ready


class TestCatalogueInForce:
    def test_it_never_goes_back(self):
        fixture = Fixture().serve().tell(CatalogueCopy(2, compress_content(b"2")))
        assert fixture.node.version == 3
        fixture.tell(CatalogueCopy(4, compress_content(b"4")))
        assert fixture.node.version == 4
        assert any(item.event == "catalogue_in_force" for item in fixture.find(EmitEvent))

    def test_it_lasts_without_any_hub(self):
        fixture = Fixture().serve()
        fixture.node.handle(fixture.now, HubLost(fixture.node.hubs.address))
        fixture.tick(60.0)
        assert fixture.node.is_ready


class TestHubs:
    def test_a_silent_hub_is_left_for_another(self):
        fixture = Fixture().serve()
        first = fixture.node.hubs.address
        fixture.tick(1.3)
        assert fixture.node.hubs.address not in ("", first)
        assert fixture.find(FollowHub)

    def test_a_hub_that_is_cut_off_from_the_others_is_left(self):
        fixture = Fixture().serve()
        first = fixture.node.hubs.address
        fixture.tell(HubBeat("h1", False)).tick(0.2)
        assert fixture.node.hubs.address == first
        fixture.tell(HubBeat("h1", False)).tick(0.2)
        assert fixture.node.hubs.address != first

    def test_the_nearest_hub_is_taken_up_again_when_it_is_back(self):
        fixture = Fixture().serve()
        assert fixture.node.hubs.address == "h0:7"
        fixture.node.handle(fixture.now, HubLost("h0:7"))
        assert fixture.node.hubs.address == "h1:7"
        for _ in range(100):
            fixture.tell(HubBeat("h", True)).tick(0.05)
        assert fixture.node.hubs.address == "h0:7"

    def test_entries_of_a_data_centre_follow_the_same_hub(self):
        twins = (*HUBS, HubRecord("h3", "g3:7", "h3:80", "z0"))
        chosen = set()
        for seed in range(8):
            fixture = Fixture(seed).tick().tell(HubBeat("h1", True), HubNews(twins))
            for _ in range(100):
                fixture.tell(HubBeat("h", True)).tick(0.05)
            chosen.add(fixture.node.hubs.address)
        assert chosen == {"g3:7"}

    def test_only_the_nearest_is_asked_for_more_than_hubs(self):
        fixture = Fixture().tick()
        assert fixture.node.create_subscription().is_lookup
        fixture.tell(HubBeat("h1", True), HubNews(HUBS)).tick()
        assert fixture.node.hubs.address == "h0:7"
        assert not fixture.node.create_subscription().is_lookup

    def test_without_a_near_hub_any_will_do_in_the_end(self):
        fixture = Fixture().tick().tell(HubBeat("h2", True), HubNews(HUBS[2:]))
        for _ in range(30):
            fixture.tell(HubBeat("h2", True)).tick(0.1)
        assert not fixture.node.create_subscription().is_lookup

    def test_while_all_fail_they_are_tried_again_with_a_pause(self):
        fixture = Fixture().tick()
        tries = 0
        for _ in range(40):
            effects = fixture.node.handle(fixture.now, HubLost(fixture.node.hubs.address))
            tries += sum(isinstance(item, FollowHub) for item in effects)
            tries += len(fixture.tick(0.05).find(FollowHub))
        assert 4 <= tries <= 24


class TestAddresses:
    def test_callers_are_sent_to_entries_of_their_data_centre(self):
        edges = (EdgeRecord("e0:80", "z0"), EdgeRecord("e1:80", "z0"), EdgeRecord("e2:80", "z1"))
        fixture = Fixture().serve().tell(EdgeNews(edges, 3))
        assert fixture.node.list_addresses("z0", "r0") == ("e0:80", "e1:80")
        assert fixture.node.list_addresses("z1", "r0") == ("e2:80",)
        assert fixture.node.list_addresses("z2", "r1") == ("e0:80", "e1:80", "e2:80")

    def test_an_entry_that_stops_names_the_others(self):
        edges = (EdgeRecord("e0:80", "z0"), EdgeRecord("e1:80", "z0"))
        fixture = Fixture().serve().tell(EdgeNews(edges, 2))
        fixture.node.stop()
        assert fixture.node.list_addresses("z0", "r0") == ("e1:80",)


class TestEvidence:
    def test_what_another_entry_saw_counts_at_once(self):
        fixture = Fixture().serve()
        fixture.tell(EvidenceNews((EvidenceItem("i-1", EvidenceKind.BROKEN),)))
        assert fixture.node.avoidance.get_standing(fixture.now, "i-1") == Standing.AVOIDED

    def test_an_address_that_another_target_has_is_left_by_all(self):
        fixture = Fixture().serve()
        fixture.tell(EvidenceNews((EvidenceItem("i-1", EvidenceKind.DEPARTED),)))
        assert fixture.node.targets.list_usable("s") == ()
        fixture.tell(TargetNews((replace(TARGET, started=2000),)))
        assert fixture.node.targets.list_usable("s")

    def test_a_new_start_begins_without_it(self):
        fixture = Fixture().serve()
        fixture.tell(EvidenceNews((EvidenceItem("i-1", EvidenceKind.BROKEN),)))
        fixture.tell(TargetNews((replace(TARGET, started=2000),)))
        assert fixture.node.avoidance.get_standing(fixture.now, "i-1") == Standing.TRUSTED

    def test_a_reset_of_an_overloaded_target_is_put_down_to_its_load(self):
        fixture = Fixture().serve()
        for _ in range(9):
            fixture.node.balancer.acquire("i-1")
        request = ForwardRequest("q", create_route(is_repeatable=True), "s", 0.0, 1.0)
        fixture.node.record_evidence(fixture.now, request, TARGET, EvidenceKind.BROKEN)
        assert fixture.node.avoidance.get_standing(fixture.now, "i-1") == Standing.TRUSTED

    def test_a_request_at_a_doubted_target_is_told_as_a_trial_and_its_answer_too(self):
        fixture = Fixture().serve()
        fixture.tell(EvidenceNews((EvidenceItem("i-1", EvidenceKind.ERROR),)))
        node = fixture.node
        request = ForwardRequest("q", create_route(is_repeatable=True), "s", 0.0, 1.0)
        assert not node.is_trusted(fixture.now, TARGET)
        node.record_attempt_start(fixture.now, request, TARGET)
        node.record_evidence(fixture.now, request, TARGET, EvidenceKind.PASSED)
        sent = [item.message for item in node.take_pending() if isinstance(item, SendToHub)]
        kinds = [item.kind for news in sent for item in news.items]
        assert kinds == [EvidenceKind.TRIAL, EvidenceKind.PASSED]

    def test_answers_of_trusted_targets_are_not_told(self):
        fixture = Fixture().serve()
        request = ForwardRequest("q", create_route(is_repeatable=True), "s", 0.0, 1.0)
        fixture.node.record_attempt_start(fixture.now, request, TARGET)
        fixture.node.record_evidence(fixture.now, request, TARGET, EvidenceKind.PASSED)
        assert fixture.node.take_pending() == []

    def test_quick_and_long_routes_of_one_service_are_measured_apart(self):
        fixture = Fixture().serve()
        quick = create_route(is_repeatable=True)
        long = replace(quick, name="long")
        for route, seconds in ((quick, 0.002), (long, 0.6)):
            request = ForwardRequest("q", route, "s", 0.0, 5.0)
            for _ in range(20):
                fixture.node.record_success(request, seconds, 100)
        request = ForwardRequest("q", long, "s", 0.0, 5.0)
        patience = fixture.node.estimate_latency_thresholds(fixture.now, request, TARGET)
        assert 0.6 < patience.slow < patience.hung < 2.5

    def test_what_a_lost_hub_told_of_loads_is_forgotten(self):
        fixture = Fixture().serve()
        fixture.tell(LoadNews((LoadItem("i-1", 4), LoadItem("i-2", 2)), True))
        fixture.tell(LoadNews((LoadItem("i-2", 0),)))
        assert fixture.node.balancer.count_outstanding("i-1") == 4
        assert fixture.node.balancer.count_outstanding("i-2") == 0
        fixture.node.handle(fixture.now, HubLost(fixture.node.hubs.address))
        assert fixture.node.balancer.count_outstanding("i-1") == 0

    def test_a_repeat_is_asked_of_the_hub(self):
        fixture = Fixture().serve()
        assert fixture.node.spend_retry(fixture.now, "s") is None
        number = fixture.node.request_retry(fixture.now, "s")
        assert [item.message for item in fixture.node.take_pending()] == [RepeatAsk(number, "s")]
        fixture.tell(RepeatReply(number, True))
        assert fixture.find(RetryDecided) == [RetryDecided(number, True)]

    def test_a_hub_that_leaves_an_ask_open_grants_nothing_later(self):
        fixture = Fixture().serve()
        number = fixture.node.request_retry(fixture.now, "s")
        assert fixture.tick(0.2).find(RetryDecided) == [RetryDecided(number, False)]
        assert not fixture.tell(RepeatReply(number, True)).find(RetryDecided)

    def test_a_lost_hub_settles_what_was_asked(self):
        fixture = Fixture().serve()
        number = fixture.node.request_retry(fixture.now, "s")
        effects = fixture.node.handle(fixture.now, HubLost(fixture.node.hubs.address))
        effects += fixture.node.take_pending()
        assert RetryDecided(number, False) in effects

    def test_without_a_hub_requests_earn_the_entry_its_own_repeats(self):
        fixture = Fixture().serve()
        fixture.now += 2.0
        assert not fixture.node.spend_retry(fixture.now, "s")
        for _ in range(4):
            fixture.node.budgets.record_request(fixture.now, "s")
        assert fixture.node.spend_retry(fixture.now, "s")
        assert not fixture.node.spend_retry(fixture.now, "s")

    def test_load_is_told_when_it_changed(self):
        fixture = Fixture().serve()
        fixture.node.balancer.acquire("i-1")
        fixture.tick(0.5)
        assert [type(item.message) for item in fixture.find(SendToHub)] == [LoadReport]
        assert not fixture.tick(0.5).find(SendToHub)

"""Odd values from other writers: each is refused with 400 and harms nobody else."""

import asyncio
import json

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...catalogue import (
    CatalogueStored,
    UnreadableCatalogueError,
    decompress_content,
    find_validation_errors,
)
from ...forwarding import HedgingSettings
from ...hub import AnnounceReply
from ...registry import TargetNews, TargetState
from ...site import HubCommands
from ...site.tests.test_hub_service import create_service, tick_until
from ...transport import create_codec
from .._documents import DocumentReader
from .._hub_requests import PlatformHubRequestHandler, read_announcement
from .._settings import read_hedging, read_settings
from .._values import MalformedError, read_address, read_integer, read_seconds, read_version
from .test_platform import DOCUMENT, HEARTBEAT, change

CODEC = create_codec()
OVER_SIGNED_64_BIT = 2**63
# Stands for a value that is nested nearly as deeply as the parser allows.
DEEP = "nested deeply"
NESTED = b"[" * 1000 + b"]" * 1000
ODD_ADDRESSES = [
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999",
    "10.0.0.1:-1",
    f"10.0.0.1:{10**30}",
    "10.0.0.1:80\n",
    "10.0.0.1:\u0668\u0660",
    "999.0.0.1:80",
    "0.0.0.0:80",
    "1.2.3:80",
    "host:80",
    ":80",
    "10.0.0.1",
    "",
]
ODD_NUMBERS = [OVER_SIGNED_64_BIT, 2**64 - 1, 10**30, 1e300, 1.5, -1, -(10**30), True, "1", DEEP]
ODD_TEXTS = ["", "a\r\nX: y", "a\x00b", "x" * 100_000, 7, None, DEEP, {"a": DEEP}]
ODD_HEARTBEATS = [
    *(("address", value) for value in [*ODD_ADDRESSES, DEEP, 80, None]),
    *(("born", value) for value in [*ODD_NUMBERS, 10**18]),
    *(("status.seq", value) for value in ODD_NUMBERS),
    *(("info.slots", value) for value in [*ODD_NUMBERS, 0, 2**53]),
    *(("info.service", value) for value in ODD_TEXTS),
    *(("info.zone", value) for value in ODD_TEXTS[1:]),
    *(("status.state", value) for value in ODD_TEXTS),
    *(
        ("status.warmup_left", value)
        for value in ["9" * 400 + "s", "\u0663s", "1s\n", 1e300, DEEP]
    ),
    *(("info", value) for value in [DEEP, [], None]),
]
ODD_BODIES = [
    b"[" * 100_000,
    b'{"a":' * 5000 + b"1" + b"}" * 5000,
    b"\xff\xfe",
    b'{"born": 1e999}',
    b'{"born": NaN}',
    b'{"address": "\\ud800"}',
    b"",
]
ODD_IDENTITIES = ["", "a\r\nb", "a\x00b", "a b", "\ud800", "é", "x" * 5000]
ODD_DOCUMENTS = [
    *(("version", value) for value in ["0000000c\n", DEEP, 10**30, "\u0660000000c"]),
    *(("limits.max_body_bytes", value) for value in ODD_NUMBERS),
    *(("limits.idle_timeout", value) for value in ["9" * 400 + "s", DEEP, 5]),
    *(("services.rows", [["s", value], ["t", 1]]) for value in ODD_NUMBERS),
    ("routes.rows", DEEP),
    ("routes.columns", DEEP),
]
# Column of a route and the odd value in it.
ODD_ROUTES = [
    *((8, value) for value in ODD_NUMBERS),
    *((6, value) for value in ODD_NUMBERS),
    *((4, value) for value in ["9" * 400 + "s", "0s", DEEP, 1e300]),
    *((5, value) for value in ["9" * 400 + "ms", DEEP]),
    *((1, value) for value in ["", DEEP]),
    *((9, [{"service": "s", "weight": value}]) for value in [-1, DEEP, "1", True]),
    (9, [{"service": "s", "weight": 1.7e308}, {"service": "t", "weight": 1.7e308}]),
    (9, DEEP),
]


class FakeContent:
    def __init__(self, content: bytes):
        self.content = content

    async def iter_any(self):
        yield self.content


class FakeRequest:
    def __init__(self, path: str, content: bytes):
        self.path = path
        self.headers: dict[str, str] = {}
        self.content = FakeContent(content)


class RecordingHub(HubCommands):
    """Accepts everything, and encodes it as the real hub does."""

    def __init__(self):
        self.targets = []
        self.documents = []

    async def announce(self, target):
        news = TargetNews((target,))
        assert CODEC.decode(CODEC.encode(news)) == news
        self.targets.append(target)
        return AnnounceReply("10.0.0.9:4")

    async def submit(self, message):
        assert CODEC.decode(CODEC.encode(message)) == message
        self.documents.append(message)
        return CatalogueStored(message.version)


def describe(value) -> str:
    """Return a short name of a parameter."""
    return repr(value)[:30]


def encode(value) -> bytes:
    """Return JSON in which ``DEEP`` is replaced by the nested value that it stands for."""
    return json.dumps(value).encode().replace(b'"nested deeply"', NESTED)


def post(hub: HubCommands, path: str, content: bytes):
    """Return the response of the handler to one request."""
    return asyncio.run(PlatformHubRequestHandler().handle(FakeRequest(path, content), hub))


def change_route(column: int, value) -> dict:
    document = json.loads(json.dumps(DOCUMENT))
    document["routes"]["rows"][0][column] = value
    return document


def draw_json():
    """Return a strategy for any JSON value, with numbers far out of range."""
    numbers = st.integers() | st.integers(-(2**64), 2**64) | st.floats(allow_nan=False)
    texts = st.text() | st.sampled_from(ODD_ADDRESSES)
    leaves = st.none() | st.booleans() | numbers | texts | st.just(DEEP)
    return st.recursive(
        leaves, lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner), max_leaves=5
    )


def draw_change(fields: list[str]):
    return st.dictionaries(st.sampled_from(fields), draw_json(), min_size=1, max_size=3)


class TestHeartbeats:
    @pytest.mark.parametrize(("path", "value"), ODD_HEARTBEATS, ids=describe)
    def test_odd_field_is_refused(self, path, value):
        hub = RecordingHub()
        content = encode(change(HEARTBEAT, path, value))
        response = post(hub, "/v1/instances/i-1/heartbeat", content)
        assert response.status == 400
        assert hub.targets == []
        assert 0 < len(response.body) < 2000

    @pytest.mark.parametrize("content", ODD_BODIES, ids=describe)
    def test_odd_body_is_refused(self, content):
        hub = RecordingHub()
        assert post(hub, "/v1/instances/i-1/heartbeat", content).status == 400
        assert hub.targets == []

    @pytest.mark.parametrize("identity", ODD_IDENTITIES, ids=describe)
    @pytest.mark.parametrize("action", ["heartbeat", "leave"])
    def test_odd_identity_is_refused(self, identity, action):
        hub = RecordingHub()
        path = f"/v1/instances/{identity}/{action}"
        assert post(hub, path, encode(HEARTBEAT)).status == 400
        assert hub.targets == []

    @pytest.mark.parametrize("value", [OVER_SIGNED_64_BIT, 2**64 - 1, 10**18, -1])
    def test_leave_of_an_impossible_incarnation_is_refused(self, value):
        hub = RecordingHub()
        body = orjson.dumps({"born": value})
        assert post(hub, "/v1/instances/i-1/leave", body).status == 400
        assert hub.targets == []

    @given(
        draw_change(
            [
                "address",
                "born",
                "info",
                "status",
                "info.service",
                "info.zone",
                "info.slots",
                "status.state",
                "status.seq",
                "status.warmup_left",
            ]
        ),
        st.sampled_from(["heartbeat", "leave"]),
    )
    def test_any_field_is_refused_or_usable(self, changes, action):
        hub = RecordingHub()
        heartbeat = HEARTBEAT
        # Whole tables last, as a changed table has no fields to change.
        for path in sorted(changes, key=lambda item: "." not in item):
            heartbeat = change(heartbeat, path, changes[path])
        response = post(hub, f"/v1/instances/i-1/{action}", encode(heartbeat))
        assert response.status == (200 if hub.targets else 400)

    @given(st.binary(max_size=200) | draw_json().map(encode))
    def test_any_body_is_refused_or_usable(self, content):
        hub = RecordingHub()
        assert post(hub, "/v1/instances/i-1/heartbeat", content).status == 400
        assert hub.targets == []


class TestHub:
    # Guards against one entry that cannot be encoded: the hub restarted its replica with each
    # batch, as it kept the entry and tried to save it again.
    def test_odd_entry_among_others_leaves_the_hub_alone(self, tmp_path):
        async def run():
            service = create_service(tmp_path)
            service._restore()
            await tick_until(service, lambda: service.node.replica.has_committed_in_term)
            node = service.node
            handler = PlatformHubRequestHandler()
            statuses = []
            for number, born in enumerate([1700, OVER_SIGNED_64_BIT, 2**64 - 1, 1701]):
                body = encode(
                    change(change(HEARTBEAT, "born", born), "address", f"10.0.0.{number + 1}:80")
                )
                request = FakeRequest(f"/v1/instances/i-{number}/heartbeat", body)
                statuses.append((await handler.handle(request, service)).status)
            # Longer than the interval at which targets are saved.
            for _ in range(30):
                service._process_batch(is_tick=True)
                await asyncio.sleep(0.05)
            assert statuses == [200, 400, 400, 200]
            assert service.node is node
            assert service.node.replica.is_leader
            assert {item.identity for item in node.targets.list_all()} == {"i-0", "i-3"}

        asyncio.run(run())


class TestDocuments:
    @pytest.mark.parametrize(
        "document",
        [
            *(change(DOCUMENT, path, value) for path, value in ODD_DOCUMENTS),
            *(change_route(column, value) for column, value in ODD_ROUTES),
        ],
        ids=lambda document: None,
    )
    def test_odd_document_is_refused(self, document):
        hub = RecordingHub()
        content = encode(document)
        status = post(hub, "/v1/config/put", content).status
        # What can be read is checked once more by the leader.
        errors = [
            find_validation_errors(DocumentReader().read(decompress_content(item.content)))
            for item in hub.documents
        ]
        assert status == 400 or all(errors)

    @pytest.mark.parametrize("content", ODD_BODIES, ids=describe)
    def test_odd_body_is_refused(self, content):
        hub = RecordingHub()
        assert post(hub, "/v1/config/put", content).status == 400
        assert hub.documents == []

    @given(
        draw_change(
            [
                "version",
                "routes",
                "services",
                "limits",
                "routes.rows",
                "routes.columns",
                "services.rows",
                "limits.max_header_bytes",
                "limits.idle_timeout",
                "tenants",
            ]
        )
    )
    def test_any_field_is_refused_or_usable(self, changes):
        document = DOCUMENT
        for path in sorted(changes, key=lambda item: "." not in item):
            document = change(document, path, changes[path])
        try:
            find_validation_errors(DocumentReader().read(encode(document)))
        except UnreadableCatalogueError as error:
            assert len(str(error)) < 2000


class TestValues:
    @pytest.mark.parametrize("text", ODD_ADDRESSES)
    def test_odd_address(self, text):
        with pytest.raises(MalformedError, match="address"):
            read_address(text, "address")

    @pytest.mark.parametrize("text", ["10.0.0.1:1", "127.0.0.1:65535", "192.168.255.255:80"])
    def test_usable_address(self, text):
        assert read_address(text, "address") == text

    def test_integer_of_the_wire(self):
        assert read_integer(2**63 - 1, "x") == 2**63 - 1
        with pytest.raises(MalformedError):
            read_integer(2**63, "x")

    @pytest.mark.parametrize("text", ["9" * 400 + "s", "1s\n", "\u0663s"], ids=describe)
    def test_odd_duration(self, text):
        with pytest.raises(MalformedError):
            read_seconds(text, "x")

    def test_odd_version(self):
        with pytest.raises(MalformedError):
            read_version("0000000c\n", "x")


class TestSettingsFile:
    @pytest.mark.parametrize("content", ODD_BODIES, ids=describe)
    def test_odd_settings_file_is_refused(self, tmp_path, content):
        path = tmp_path / "settings.json"
        path.write_bytes(content)
        with pytest.raises(MalformedError):
            # The bodies that are tables have odd fields only, which no setting names.
            fields = read_settings(str(path))
            read_integer(fields.get("internal_ports"), "internal_ports")


def test_announcement_at_the_limits_survives_the_wire():
    heartbeat = change(HEARTBEAT, "status.seq", 2**63 - 1)
    entry = read_announcement("i-1", encode(heartbeat))
    assert CODEC.decode(CODEC.encode(entry)) == entry
    assert entry.state == TargetState.READY


class TestHedgingSettings:
    def test_limit_is_read(self):
        assert read_hedging({}) is None
        assert read_hedging({"hedging": {"share": 0.02}}) == HedgingSettings(0.02, 0.95)
        assert read_hedging({"hedging": {"share": 1, "quantile": 0.9}}) == HedgingSettings(
            1.0, 0.9
        )

    # Guards against a limit that is ignored because of a typing error.
    @pytest.mark.parametrize(
        ("value", "field"),
        [
            (0.02, "hedging"),
            ({}, "hedging.share"),
            ({"share": "0.02"}, "hedging.share"),
            ({"share": True}, "hedging.share"),
            ({"share": 2}, "hedging.share"),
            ({"share": -0.1}, "hedging.share"),
            ({"share": float("nan")}, "hedging.share"),
            ({"share": 0.1, "quantile": 0.995}, "hedging.quantile"),
            ({"share": 0.1, "quantile": 95}, "hedging.quantile"),
            ({"share": 0.1, "quantil": 0.9}, "hedging.quantil"),
        ],
    )
    def test_error_names_the_field(self, value, field):
        with pytest.raises(MalformedError, match=f"^{field}: "):
            read_hedging({"hedging": value})

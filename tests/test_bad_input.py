"""Processes reject invalid input with a specific error and keep serving."""

import json
import socket
import struct
import time
import urllib.error
import urllib.request

import pytest

from tarragonshelf.consensus import LogEntry, SaveEntries
from tarragonshelf.storage import ReplicaStore, create_local_file_system
from tarragonshelf.transport import create_codec

from .processes import list_processes, read_runs, run_command, start_fleet

TIMEOUT_SECONDS = 20.0

pytestmark = pytest.mark.process


@pytest.fixture(scope="module")
def fleet():
    with start_fleet(controls=1, entries=2, targets=4) as started:
        yield started


@pytest.fixture
def entry(fleet):
    return list_processes(fleet, "entry")[0]


def send_request(address: str, path: str, *, method="GET", body=None, headers=None):
    """Send one HTTP request and return the status, headers and body of the response."""
    request = urllib.request.Request(
        f"http://{address}{path}", data=body, headers=headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_SECONDS) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as response:
        return response.code, response.headers, response.read()


def send_raw(address: str, content: bytes) -> bytes:
    """Send bytes and return all bytes received until the peer closes the connection."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=TIMEOUT_SECONDS) as connection:
        connection.sendall(content)
        connection.settimeout(TIMEOUT_SECONDS)
        received = b""
        while part := connection.recv(65536):
            received += part
        return received


def read_metric(process: dict, name: str) -> float:
    """Return the sum of the values of all metric lines that contain ``name``."""
    _, _, text = send_request(process["administration"], "/metrics")
    lines = [line for line in text.decode().splitlines() if name in line and line[0] != "#"]
    return sum(float(line.split()[-1]) for line in lines)


def set_failure_mode(target: dict, mode: str) -> None:
    """Set how a target fails; ``normal`` ends the failure."""
    body = json.dumps({"mode": mode}).encode()
    assert send_request(target["address"], "/control", method="POST", body=body)[0] == 200


def wait_until(condition) -> None:
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


class TestCallers:
    def test_unknown_route(self, entry):
        status, headers, _ = send_request(entry["http"], "/nowhere")
        assert (status, headers["Tarragonshelf-Outcome"]) == (404, "not-run")

    def test_order_without_key(self, entry):
        status, headers, _ = send_request(entry["http"], "/rondas", method="POST", body=b"x")
        assert (status, headers["Tarragonshelf-Outcome"]) == (400, "not-run")

    def test_oversized_body(self, fleet, entry):
        status, headers, _ = send_request(
            entry["http"],
            "/rondas",
            method="POST",
            body=b"x" * ((1 << 20) + 1),
            headers={"Idempotency-Key": "large"},
        )
        assert (status, headers["Tarragonshelf-Outcome"]) == (413, "not-run")
        assert "large" not in [line["key"] for line in read_runs(fleet)]

    def test_oversized_body_of_unknown_length(self, fleet, entry):
        chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
        head = b"POST /rondas HTTP/1.1\r\nHost: a\r\nIdempotency-Key: chunked\r\n"
        head += b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        try:
            response = send_raw(entry["http"], head + chunk * 17 + b"0\r\n\r\n")
        except ConnectionError:
            response = b""
        assert response == b"" or b" 413 " in response.splitlines()[0]
        assert "chunked" not in [line["key"] for line in read_runs(fleet)]

    def test_conflicting_lengths(self, fleet, entry):
        response = send_raw(
            entry["http"],
            b"POST /rondas HTTP/1.1\r\nHost: a\r\nIdempotency-Key: smuggled\r\n"
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        )
        assert b" 400 " in response.splitlines()[0]
        assert "smuggled" not in [line["key"] for line in read_runs(fleet)]

    def test_hop_by_hop_headers_are_not_passed_on(self, entry):
        response = send_raw(
            entry["http"],
            b"GET /rondas/headers HTTP/1.1\r\nHost: a\r\nConnection: close, X-Private\r\n"
            b"X-Private: 1\r\nX-Public: 2\r\nTE: trailers\r\n\r\n",
        )
        head, _, body = response.partition(b"\r\n\r\n")
        forwarded = {name.lower() for name in json.loads(body)["headers"]}
        assert b" 200 " in head.splitlines()[0]
        assert "x-public" in forwarded
        assert not {"x-private", "te"} & forwarded

    def test_slow_caller_holds_no_slot(self, entry):
        host, _, port = entry["http"].rpartition(":")
        slow = []
        try:
            for number in range(8):
                connection = socket.create_connection((host, int(port)))
                connection.sendall(
                    b"POST /rondas HTTP/1.1\r\nHost: a\r\nIdempotency-Key: slow%d\r\n"
                    b"Content-Length: 10\r\n\r\nabc" % number
                )
                slow.append(connection)
            wait_until(lambda: read_metric(entry, "requests_under_way") >= 8)
            assert send_request(entry["http"], "/rondas")[0] == 200
        finally:
            for connection in slow:
                connection.close()
        wait_until(lambda: read_metric(entry, "requests_under_way") == 0)

    def test_vanished_caller_holds_no_slot(self, fleet, entry):
        target = next(item for item in fleet["targets"] if item["service"] == "archivo")
        set_failure_mode(target, "hang")
        host, _, port = entry["http"].rpartition(":")
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(b"GET /archivo/7 HTTP/1.1\r\nHost: a\r\n\r\n")
            wait_until(lambda: read_metric(entry, "requests_under_way") == 1)
        wait_until(lambda: read_metric(entry, "requests_under_way") == 0)
        set_failure_mode(target, "normal")
        with open(entry["log"]) as log:
            attempt_ends = [
                line for line in log if "attempt_ended" in line and target["address"] in line
            ]
        assert '"kind":"cancelled"' in attempt_ends[-1]

    def test_malformed_announcement_returns_its_findings(self, entry):
        status, _, body = send_request(
            entry["http"], "/announcements", method="POST", body=b'{"slots": 1}'
        )
        assert status == 400
        assert json.loads(body)["findings"]


class TestPeers:
    @pytest.mark.parametrize("role", ["entry", "control"])
    @pytest.mark.parametrize(
        "content",
        [
            struct.pack(">I", 1 << 31) + b"x",
            struct.pack(">I", 5) + b"\xff\xff\xff\xff\xff",
            b"GET / HTTP/1.1\r\n\r\n",
        ],
        ids=["oversized", "malformed", "http"],
    )
    def test_bad_frame_closes_the_connection_only(self, fleet, role, content):
        process = list_processes(fleet, role)[0]
        before = read_metric(process, "peer_frame_malformed")
        send_raw(read_settings(process)["peer"], content)
        wait_until(lambda: read_metric(process, "peer_frame_malformed") == before + 1)
        assert send_request(process["administration"], "/health/live")[0] == 200

    def test_wrong_secret_is_refused_counted_and_logged(self, fleet, tmp_path):
        process = list_processes(fleet, "control")[0]
        before = read_metric(process, "peer_refused")
        (tmp_path / "secret").write_text("another secret of enough length")
        completed = run_command(
            "status", "--control", fleet["control"], "--secret-file", str(tmp_path / "secret")
        )
        assert completed.returncode == 1
        assert read_metric(process, "peer_refused") > before
        with open(process["log"]) as log:
            assert "wrong fleet secret" in log.read()


def read_settings(process: dict) -> dict:
    with open(process["settings"]) as file:
        return json.load(file)


class TestCommandLine:
    def test_all_findings_of_settings_are_printed(self, tmp_path):
        path = tmp_path / "control.json"
        path.write_text('{"vm": "c", "peer": "nowhere", "colour": 1, "secret_file": "s"}')
        completed = run_command("control", "--settings", str(path))
        assert completed.returncode == 1
        fields = [line.split(":")[0] for line in completed.stdout.splitlines()]
        assert {"peer", "colour", "data_folder", "controls", "secret_file"} <= set(fields)

    def test_check_prints_five_findings_and_exits_1(self, tmp_path):
        path = tmp_path / "bad.json"
        path.write_text(
            '{"name": "x", "regions": [{"name": "n", "data_centres": ["n1"]}], "extra": 1,'
            ' "services": [{"name": "s", "targets": 2, "floor": 3, "slots": 0}],'
            ' "routes": [{"path": "x", "service": "s"}, {"path": "/y", "service": "t"}]}'
        )
        completed = run_command("check", str(path))
        assert completed.returncode == 1
        assert sorted(line.split(":")[0] for line in completed.stdout.splitlines()) == [
            "extra",
            "routes[0].path",
            "routes[1].service",
            "services[0].floor",
            "services[0].slots",
        ]

    def test_refused_configuration_is_not_applied(self, fleet, tmp_path):
        path = tmp_path / "bad.json"
        path.write_text("{}")
        completed = run_command("apply", str(path), "--settings", fleet["settings"])
        assert completed.returncode == 1
        printed = run_command("configuration", "--settings", fleet["settings"], "--json")
        assert json.loads(printed.stdout)["version"] == 1

    def test_usage_errors_exit_2(self):
        assert run_command("timeline").returncode == 2
        assert run_command("status").returncode == 2
        assert run_command("nonsense").returncode == 2

    def test_second_initialize_changes_nothing(self, fleet):
        completed = run_command("initialize", "--settings", fleet["settings"])
        assert completed.returncode == 0

    def test_timeline_of_an_order_from_claim_to_answer(self, fleet, entry):
        headers = {"Idempotency-Key": "followed"}
        status, response_headers, _ = send_request(
            entry["http"], "/rondas", method="POST", body=b"1", headers=headers
        )
        assert (status, response_headers["Tarragonshelf-Outcome"]) == (200, "ran")
        logs = [item["log"] for item in fleet["processes"]]
        wait_until(lambda: "request_answered" in run_timeline(logs))
        events = [line.split()[3] for line in run_timeline(logs).splitlines()]
        assert events == [
            "claim_submitted",
            "claim_answered",
            "attempt_started",
            "attempt_ended",
            "order_settled",
            "request_answered",
        ]


def run_timeline(logs: list[str]) -> str:
    return run_command("timeline", *logs, "--order", "followed").stdout


class TestDataFolder:
    def test_damaged_journal_is_named_with_its_offset(self, tmp_path):
        files = create_local_file_system(str(tmp_path / "data"))
        store = ReplicaStore(files, create_codec())
        store.restore(lambda: "1")
        for index in (1, 2, 3):
            store.save([SaveEntries(index, (LogEntry(index, 1, payload=b"x" * 100),))])
        files.close()
        journal = tmp_path / "data" / "journal-000000000000"
        content = bytearray(journal.read_bytes())
        content[50] ^= 0xFF
        journal.write_bytes(bytes(content))
        (tmp_path / "secret").write_text("a secret of enough length")
        settings = {
            "vm": "c",
            "data_centre": "n1",
            "peer": "127.0.0.1:0",
            "administration": "127.0.0.1:0",
            "data_folder": str(tmp_path / "data"),
            "secret_file": "secret",
            "controls": [{"vm": "c", "address": "127.0.0.1:1"}],
        }
        (tmp_path / "settings.json").write_text(json.dumps(settings))
        completed = run_command("control", "--settings", str(tmp_path / "settings.json"))
        assert completed.returncode == 1
        assert "file 'journal-000000000000' is damaged at offset 0" in completed.stdout

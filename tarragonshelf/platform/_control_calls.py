"""Calls of targets and operators at a hub."""

from typing import Any

import orjson
from aiohttp import web

from ..catalogue import (
    CatalogueCopy,
    PutCatalogue,
    ReadCatalogue,
    UnreadableCatalogueError,
    compress_content,
    decompress_content,
)
from ..hub import AnnounceReply
from ..registry import TargetEntry, TargetState
from ..replication import Refused, RefusedReason
from ..site import HubCalls, HubPort
from ._documents import read_document_version
from ._values import (
    MalformedError,
    read_address,
    read_integer,
    read_seconds,
    read_table,
    read_text,
)

TARGETS = "/v1/instances/"
ANNOUNCE = "heartbeat"
LEAVE = "leave"
PUT = "/v1/config/put"
GET = "/v1/config/get"
MAXIMUM_BODY_BYTES = 8 << 20
STATES = {"ready": TargetState.READY, "draining": TargetState.DRAINING}


class ControlCalls(HubCalls):
    """Decodes each call once and encodes its answer."""

    async def answer(self, request: web.BaseRequest, port: HubPort) -> web.Response:
        """Return the answer to one call."""
        content = await _read_content(request)
        if request.path == GET:
            return await self._get(port)
        if request.path == PUT:
            return await self._put(port, content)
        identity, _, verb = request.path.removeprefix(TARGETS).partition("/")
        if not request.path.startswith(TARGETS) or verb not in (ANNOUNCE, LEAVE):
            return _say(404, "no such call")
        try:
            target = read_leave(identity, content)
            if verb == ANNOUNCE:
                target = read_announcement(identity, content)
        except MalformedError as error:
            return _say(400, str(error))
        answer = await port.announce(target)
        if not isinstance(answer, AnnounceReply):
            return _say(503, "not confirmed")
        return web.json_response({"beat_addr": answer.address})

    async def _get(self, port: HubPort) -> web.Response:
        copy = await port.submit(ReadCatalogue())
        if not isinstance(copy, CatalogueCopy):
            return _say(503, "which version is the newest is not known")
        if not copy.version:
            return _say(503, "there is no version yet")
        return web.Response(body=decompress_content(copy.content), content_type="application/json")

    async def _put(self, port: HubPort, content: bytes) -> web.Response:
        try:
            version = read_document_version(content)
        except UnreadableCatalogueError as error:
            return _say(400, str(error))
        answer = await port.submit(PutCatalogue(version, compress_content(content)))
        if isinstance(answer, Refused) and answer.reason == RefusedReason.INVALID:
            return _say(400, answer.detail)
        if answer is None or isinstance(answer, Refused):
            return _say(503, "not stored")
        return web.json_response({})


def read_announcement(identity: str, content: bytes) -> TargetEntry:
    """Return what a target says of itself; raises ``MalformedError``."""
    body = _parse(content)
    info = read_table(body.get("info"), "info")
    status = read_table(body.get("status"), "status")
    state = STATES.get(read_text(status.get("state"), "state"))
    if state is None:
        raise MalformedError("state: is unknown")
    service = read_text(info.get("service"), "service")
    if not identity or not service:
        raise MalformedError("the target or its service has no name")
    return TargetEntry(
        identity=identity,
        # The start, not a birth: a new start under an old name is a new incarnation.
        started=read_integer(body.get("born"), "born"),
        sequence=read_integer(status.get("seq"), "seq"),
        state=state,
        address=read_address(body.get("address"), "address"),
        service=service,
        data_centre=read_text(info.get("zone"), "zone"),
        slots=read_integer(info.get("slots"), "slots", least=1),
        warm_seconds=read_seconds(status.get("warmup_left", "0ms"), "warmup_left"),
    )


def read_leave(identity: str, content: bytes) -> TargetEntry:
    """Return the word of a target that leaves; only its name is sure to be told."""
    started = 0
    try:
        started = read_integer(_parse(content).get("born", 0), "born")
    except MalformedError:
        # Without a start it is the incarnation that is known.
        started = 0
    return TargetEntry(identity, started, 0, TargetState.LEFT)


def _parse(content: bytes) -> dict[str, Any]:
    try:
        return read_table(orjson.loads(content), "body")
    except orjson.JSONDecodeError as error:
        raise MalformedError(f"body: {error}") from error


async def _read_content(request: web.BaseRequest) -> bytes:
    content = bytearray()
    async for part in request.content.iter_any():
        content += part
        if len(content) > MAXIMUM_BODY_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAXIMUM_BODY_BYTES, len(content))
    return bytes(content)


def _say(status: int, problem: str) -> web.Response:
    return web.json_response({"problem": problem}, status=status)

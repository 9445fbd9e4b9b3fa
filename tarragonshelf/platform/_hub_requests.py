"""HTTP requests of targets and operators to a hub."""

import re
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
from ..site import HubCommands, HubRequestHandler
from ._documents import read_document_version
from ._values import (
    MalformedError,
    read_address,
    read_integer,
    read_name,
    read_seconds,
    read_table,
    read_text,
)

TARGETS_PATH = "/v1/instances/"
HEARTBEAT_ACTION = "heartbeat"
LEAVE_ACTION = "leave"
PUT_CATALOGUE_PATH = "/v1/config/put"
GET_CATALOGUE_PATH = "/v1/config/get"
MAXIMUM_BODY_BYTES = 8 << 20
# The end of the year 9999. The start of a target orders the incarnations at its address, so one
# that lies beyond any clock would keep out all later ones.
MAXIMUM_START_MILLISECONDS = 253_402_300_799_999
MAXIMUM_SLOTS = 1_000_000
# An identity is sent to the target in a header.
_IDENTITY = re.compile(r"[\x21-\x7e]{1,255}")
TARGET_STATES = {"ready": TargetState.READY, "draining": TargetState.DRAINING}


class PlatformHubRequestHandler(HubRequestHandler):
    """Decodes requests and encodes responses."""

    async def handle(self, request: web.BaseRequest, hub: HubCommands) -> web.Response:
        """Return the response to one request."""
        if request.headers.get("Content-Encoding", "identity").lower() != "identity":
            return _create_error(415, "the body has a Content-Encoding")
        try:
            content = await _read_content(request)
        except web.RequestPayloadError as error:
            return _create_error(400, f"body: {error}")
        if request.path == GET_CATALOGUE_PATH:
            return await self._get_catalogue(hub)
        if request.path == PUT_CATALOGUE_PATH:
            return await self._put_catalogue(hub, content)
        identity, _, action = request.path.removeprefix(TARGETS_PATH).partition("/")
        if not request.path.startswith(TARGETS_PATH) or action not in (
            HEARTBEAT_ACTION,
            LEAVE_ACTION,
        ):
            return _create_error(404, "no such call")
        try:
            target = read_leave(identity, content)
            if action == HEARTBEAT_ACTION:
                target = read_announcement(identity, content)
        except MalformedError as error:
            return _create_error(400, str(error))
        reply = await hub.announce(target)
        if not isinstance(reply, AnnounceReply):
            return _create_error(503, "not confirmed")
        return web.json_response({"beat_addr": reply.address})

    async def _get_catalogue(self, hub: HubCommands) -> web.Response:
        copy = await hub.submit(ReadCatalogue())
        if not isinstance(copy, CatalogueCopy):
            return _create_error(503, "which version is the newest is not known")
        if not copy.content:
            return _create_error(503, "there is no version yet")
        return web.Response(body=decompress_content(copy.content), content_type="application/json")

    async def _put_catalogue(self, hub: HubCommands, content: bytes) -> web.Response:
        try:
            version = read_document_version(content)
        except UnreadableCatalogueError as error:
            return _create_error(400, str(error))
        reply = await hub.submit(PutCatalogue(version, compress_content(content)))
        if isinstance(reply, Refused) and reply.reason == RefusedReason.INVALID:
            return _create_error(400, reply.detail)
        if reply is None or isinstance(reply, Refused):
            return _create_error(503, "not stored")
        return web.json_response({})


def read_announcement(identity: str, content: bytes) -> TargetEntry:
    """Return the target that a heartbeat describes; raise ``MalformedError``."""
    body = _parse(content)
    info = read_table(body.get("info"), "info")
    status = read_table(body.get("status"), "status")
    state = TARGET_STATES.get(read_text(status.get("state"), "state"))
    if state is None:
        raise MalformedError("state: is unknown")
    service = read_name(info.get("service"), "service")
    if not service:
        raise MalformedError("the target's service has no name")
    # Not used, but an announcement without it is not one of a target.
    read_text(info.get("version"), "version")
    return TargetEntry(
        identity=_read_identity(identity),
        # ``born`` is the start of the process: a restart under the same name is a new incarnation.
        started=_read_start(body.get("born")),
        sequence=read_integer(status.get("seq"), "seq"),
        state=state,
        address=read_address(body.get("address"), "address"),
        service=service,
        data_centre=read_name(info.get("zone"), "zone"),
        slots=read_integer(info.get("slots"), "slots", minimum=1, maximum=MAXIMUM_SLOTS),
        warm_seconds=read_seconds(status.get("warmup_left"), "warmup_left"),
    )


def read_leave(identity: str, content: bytes) -> TargetEntry:
    """Return the registry entry of a target that leaves; ``content`` may be empty or malformed.

    Without a start time the leave applies to the incarnation that the hubs know.

    Raises
    ------
    MalformedError
        If the identity is not one, or the start time is a number that no start has.
    """
    try:
        start = _parse(content).get("born")
    except MalformedError:
        start = None
    started = _read_start(start) if isinstance(start, int | float) else 0
    return TargetEntry(_read_identity(identity), started, 0, TargetState.LEFT)


def _read_identity(text: str) -> str:
    if not _IDENTITY.fullmatch(text):
        raise MalformedError("the identity of the target is not 1 to 255 visible characters")
    return text


def _read_start(value: Any) -> int:
    # In messages between processes 0 stands for a start that is not known.
    return max(1, read_integer(value, "born", maximum=MAXIMUM_START_MILLISECONDS))


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


def _create_error(status: int, problem: str) -> web.Response:
    return web.json_response({"problem": problem}, status=status)

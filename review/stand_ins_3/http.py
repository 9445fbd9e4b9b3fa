"""A small HTTP/1.1 client for the operator, the infrastructure and callers."""

import asyncio
import json


class Answer:
    """Status, headers and body of a response; ``status`` is 0 without a complete one."""

    def __init__(self, status=0, headers=None, body=b"", problem=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.problem = problem


async def read_answer(reader, method="GET"):
    """Return the next final response on a connection."""
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split()[1])
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.strip().lower()] = value.strip()
        if status >= 200:
            break
    body = b""
    if method == "HEAD" or status in (204, 304):
        pass
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read()
    return Answer(status, headers, body)


def encode_request(method, path, headers, body=None):
    """Return a request as bytes; a body is sent with its length."""
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


async def call(address, method, path, *, headers=None, body=None, seconds=1.0):
    """Send one request on a new connection and return its answer."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            head = {"Host": f"{address[0]}:{address[1]}", **(headers or {})}
            writer.write(encode_request(method, path, head, body))
            return await read_answer(reader, method)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(problem=repr(error))
    finally:
        if writer is not None:
            writer.transport.abort()


async def call_json(address, path, value, *, seconds=1.0):
    """Send a JSON body and return the answer."""
    body = json.dumps(value).encode()
    headers = {"Content-Type": "application/json"}
    return await call(address, "POST", path, headers=headers, body=body, seconds=seconds)

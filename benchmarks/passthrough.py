"""A minimal aiohttp proxy in front of one target, the baseline of ``benchmarks.path``."""

import asyncio
import sys

from aiohttp import ClientSession, TCPConnector, web


async def run(target: str) -> None:
    """Forward every request to a target until the process is terminated."""
    async with ClientSession(connector=TCPConnector(limit=0), auto_decompress=False) as session:

        async def handle(request: web.BaseRequest) -> web.Response:
            url = f"http://{target}{request.raw_path}"
            async with session.request(request.method, url) as response:
                return web.Response(status=response.status, body=await response.read())

        runner = web.ServerRunner(web.Server(handle, access_log=None))
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        print(f"127.0.0.1:{port}", flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1]))

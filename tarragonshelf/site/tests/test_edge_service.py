"""The process of an entry opens its port for callers once, whatever its hubs do meanwhile."""

import asyncio

from ...catalogue import CatalogueCopy, compress_content
from ...hub.tests.fakes import FakeReader
from ...platform._entry import create_service
from ...platform.tests.test_platform import SETTINGS
from ...registry import TargetEntry, TargetNews, TargetState
from ...transport import Frame


class TestOpening:
    # Guards against an entry that leaves its hub while it opens its port: it opened the port
    # again with the next message, which failed, and so took no message of any hub any more.
    def test_port_is_opened_once_although_the_first_hub_is_left_meanwhile(self):
        async def run() -> int:
            service = create_service(SETTINGS)
            service.node.active.reader = FakeReader()
            starts = []

            async def start(address: str) -> None:
                starts.append(address)
                await asyncio.sleep(0.05)
                service.caller_server._listener = await asyncio.start_server(
                    lambda reader, writer: None, "127.0.0.1", 0
                )

            service.caller_server.start = start
            service.node.hubs.record_contact(0.0, "h:1", is_current=True)
            await service._receive("h:1", Frame(CatalogueCopy(3, compress_content(b"3"))))
            target = TargetEntry("t", 1, 1, TargetState.READY, "10.0.0.9:80", "s", "z", 3)
            first = asyncio.create_task(service._receive("h:1", Frame(TargetNews((target,)))))
            await asyncio.sleep(0.01)
            first.cancel()
            await service._receive("h:2", Frame(TargetNews(())))
            assert service.caller_server.is_open
            await service._receive("h:2", Frame(TargetNews(())))
            service.caller_server._listener.close()
            return len(starts)

        assert asyncio.run(run()) == 1

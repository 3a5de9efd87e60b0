"""Tests of one link to a peer."""

import asyncio
import unittest

from chestnutstair.transport.links import LinkSettings, PeerLink


async def cancel_on_arrival() -> bool:
    """Cancel a link as a message arrives; return if the task was cancelled."""
    loop = asyncio.get_running_loop()
    link = PeerLink("127.0.0.1:9", {}, LinkSettings(), loop)
    task = asyncio.create_task(link._wait_for_message())
    for _ in range(3):
        await asyncio.sleep(0)
    link._message_queued.set()
    task.cancel()
    await asyncio.wait([task])
    return task.cancelled()


class PeerLinkTest(unittest.TestCase):
    """A cancelled link ends even if a message arrives at the same time."""

    def test_a_message_does_not_hide_a_cancellation(self) -> None:
        self.assertTrue(asyncio.run(cancel_on_arrival()))

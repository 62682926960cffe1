"""Tests of callers that come back."""

import asyncio

from seampond.clock import Clock
from seampond.testing.scripted import (
    ReceivedRequest,
    format_response,
    run_scripted,
)
from seampond.testing.store import StandInStore
from seampond.testing.streaming import CallerPlan, StreamingFleet
from seampond.testing.virtual_time import VirtualTimeCase


async def _refuse(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(format_response(503, {'Retry-After': '600'}))


class StreamCallerTest(VirtualTimeCase):
    """A caller waits for five seconds."""

    async def test_caller_waits_longer_than_it_states(self) -> None:
        """It is told to come back in ten minutes."""
        clock = Clock()
        fleet = StreamingFleet(StandInStore(), clock)
        async with run_scripted(_refuse) as server:
            since_ms = clock.now()
            await fleet.send_stream([server.address], CallerPlan())
        self.assertLess(clock.now() - since_ms, 5000)

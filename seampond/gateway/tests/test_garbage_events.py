"""Tests of streams that servers break off with bytes that are no event."""

from seampond.gateway.tests.streaming_case import OLD_VERSION, StreamingCase
from seampond.platform.tests.rows import (
    STREAM,
    ConfigurationRow,
    put_configuration,
)
from seampond.testing.event_server import Framing
from seampond.testing.streaming import CallerPlan

_GARBAGE = (
    b'\x00\xff!garbage!\r\nzz\r\n\r\n',
    b'zz\n\n',
    b'zz\r\r',
    b'no-field-of-events: zz\n\n',
    b'data: without an id\n\n',
    b'id: 5\ndata: \xff\n\n',
    b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
)
_RUN_MS = 6000
_CONFIGURATION_MS = 500
_BREAK_EVERY = 3
_SHARE = 0.9


class GarbageEventTest(StreamingCase):
    """One gateway; each server marks the ends of its answers in its way."""

    async def test_garbage_is_passed_on_as_an_event(self) -> None:
        """The stream goes on at another server."""
        await self._open()
        await self._check()
        complete = sum(record.is_complete for record in self.fleet.records)
        self.assertGreaterEqual(complete, _SHARE * len(self.fleet.records))

    async def test_stream_that_ends_in_garbage_is_complete(self) -> None:
        """Its route allows no second run."""
        await self._open()
        put_configuration(self.store, ConfigurationRow(version=2, kind=STREAM))
        await self.fleet.clock.sleep(_CONFIGURATION_MS)
        await self._check()
        self.assertTrue(
            any(record.is_complete for record in self.fleet.records)
        )

    async def _open(self) -> None:
        fleet = await self.open_fleet(
            gateways=1,
            versions=(OLD_VERSION,),
            break_every=_BREAK_EVERY,
            garbage=_GARBAGE,
        )
        for server, framing in zip(fleet.servers, Framing, strict=True):
            server.framing = framing

    async def _check(self) -> None:
        await self.drive(CallerPlan(attempts_max=1), _RUN_MS)
        self.check_streams()
        self.assertEqual(len(self.fleet.cut), 0)
        received = {
            garbage
            for record in self.fleet.records
            for garbage in record.garbage
        }
        self.assertEqual(received, set())
        for server in self.fleet.servers:
            breaks = server.started_count // _BREAK_EVERY
            self.assertGreaterEqual(breaks, len(_GARBAGE))

"""Gateways that miss the news of a release for a moment.

Streams begin at servers of a new version through one gateway and are resumed
at another one that does not know of the version yet.
"""

import asyncio
from contextlib import ExitStack

from seampond.gateway.tests.streaming_case import (
    NEW_VERSION,
    OLD_VERSION,
    StreamingCase,
    without_server_rows,
)
from seampond.testing.cut_links import LinkEnds, cut_links
from seampond.testing.streaming import CallerPlan

_STREAMS = 100
_INTERVAL_MS = 20
_SILENT_MS = 1200
_JOINED_AFTER_MS = 300
_NEW_SERVERS = 4
# Longer than a silent gateway counts as one that may be serving.
_LONG_CUT_MS = 8000
_CALLER = CallerPlan(cut_after=2)


class OutOfStepTest(StreamingCase):
    """The first gateway is cut off, the store is silent for others."""

    async def test_stream_joins_versions_unless_all_are_asked(self) -> None:
        """Those that reply have missed the new version as well."""
        await self._check(gateways=3)

    async def test_stream_joins_versions_after_a_long_cut(self) -> None:
        """The gateway that knows the new version is taken for dead."""
        await self._check(gateways=3, cut_ms=_LONG_CUT_MS)

    async def test_stream_joins_versions_in_a_larger_fleet(self) -> None:
        """There are more gateways than are asked."""
        await self._check(gateways=6)

    async def _check(self, gateways: int, cut_ms: int = 0) -> None:
        fleet = await self.open_fleet(
            gateways=gateways, versions=(OLD_VERSION,)
        )
        await fleet.clock.sleep(_SILENT_MS)
        silent = ExitStack()
        with cut_links(self._links_of_first()), silent:
            await fleet.clock.sleep(cut_ms)
            for gateway in self.gateways[1:]:
                silent.enter_context(without_server_rows(gateway))
            await fleet.clock.sleep(_JOINED_AFTER_MS)
            await fleet.add_servers(_NEW_SERVERS, NEW_VERSION)
            sending = asyncio.create_task(self._send_streams())
            await fleet.clock.sleep(_SILENT_MS)
            silent.close()
            await sending
        self.check_streams()
        began_new = sum(
            NEW_VERSION in record.versions for record in fleet.records
        )
        self.assertGreater(began_new, _STREAMS / 4)

    async def _send_streams(self) -> None:
        """Open streams at the first gateway and resume them at the last."""
        first, last = self.addresses[0], self.addresses[-1]
        async with asyncio.TaskGroup() as group:
            for _ in range(_STREAMS):
                group.create_task(
                    self.fleet.send_stream([first, last, last], _CALLER)
                )
                await self.fleet.clock.sleep(_INTERVAL_MS)

    def _links_of_first(self) -> set[LinkEnds]:
        """Return the links between the first gateway and the others."""
        first, *others = (
            gateway.components.settings.peer_listen for gateway in self.gateways
        )
        return {
            link
            for other in others
            for link in ((first, other), (other, first))
        }

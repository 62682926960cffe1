"""Tests of streams that servers break off with an id without data."""

from seampond.gateway.tests.streaming_case import OLD_VERSION, StreamingCase
from seampond.testing.streaming import CallerPlan

_GARBAGE = (b'id: 5\n\ndata: \xff\n\n',)
_RUN_MS = 3000
_BREAK_EVERY = 3


class EventWithoutDataTest(StreamingCase):
    """One gateway; the events of the streams have an id and data."""

    async def test_stream_lacks_the_event_of_an_id_without_data(self) -> None:
        """The stream goes on behind that id at another server."""
        await self.open_fleet(
            gateways=1,
            versions=(OLD_VERSION,),
            break_every=_BREAK_EVERY,
            garbage=_GARBAGE,
        )
        await self.drive(CallerPlan(attempts_max=1), _RUN_MS)
        self.check_streams()
